package org.hemlockpick.cell;

/** Bounds the calls whose answers are awaited at a time. Times are on the steady clock. */
interface CallWindow {
  /** Tells whether another call may be sent now. */
  boolean isOpen(long nowMillis);

  /**
   * Takes note of a call that is sent.
   *
   * @param nowMillis time of its sending
   * @param waitMillis time for which the one who is called may keep its answer back
   * @param isProbe whether no answer is expected: it tells nothing of what can be handled
   * @return the call, to be handed in again when it has ended
   */
  Call begin(long nowMillis, long waitMillis, boolean isProbe);

  /**
   * Takes note that a call has ended.
   *
   * @param isAnswered whether an answer came; else the call was given up
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
