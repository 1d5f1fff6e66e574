package org.hemlockpick.cell;

/**
 * Limits the number of calls whose answers are awaited at a time. Times are on the monotonic clock.
 */
interface CallWindow {
  /** Returns whether another call may be sent now. */
  boolean isOpen(long nowMillis);

  /**
   * Records that a call is sent.
   *
   * @param nowMillis time of its sending
   * @param waitMillis time for which the callee may hold back its answer
   * @param isProbe whether no answer is expected; its outcome says nothing about the possible load
   * @return the call, to be passed to {@link #end} when it has ended
   */
  Call begin(long nowMillis, long waitMillis, boolean isProbe);

  /**
   * Records that a call has ended.
   *
   * @param isAnswered whether an answer came; otherwise the call timed out
   */
  void end(Call call, boolean isAnswered, long nowMillis);

  /**
   * A call in flight.
   *
   * @param sentAt time of its sending
   * @param dueAt time from which its answer is awaited
   * @param isProbe whether no answer was expected
   */
  record Call(long sentAt, long dueAt, boolean isProbe) {}
}
