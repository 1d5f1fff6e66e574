package org.hemlockpick.cell.calls;

import org.hemlockpick.cell.JobState;
import org.hemlockpick.cell.Queue;
import org.hemlockpick.cell.Submission;
import org.jspecify.annotations.Nullable;

/**
 * Determines for how long a caller that asks for the state of a running job waits for its end.
 * Callers often ask just as the last task ends, a moment before the end is stored. An answer that
 * the job runs would cost them the time until they ask again.
 *
 * <p>Times are in milliseconds on the monotonic clock.
 */
public final class EndWait {
  /** Maximum wait: longer than it usually takes to store an end. */
  static final long MAX_MILLIS = 120;

  /** A caller waits for at most this part of the latency target of the job's queue. */
  private static final int TARGET_DIVISOR = 4;

  private final long until;

  private EndWait(long until) {
    this.until = until;
  }

  /**
   * Returns the wait for the end of a job. There is none unless it runs, has an end, and its queue
   * has a latency target.
   *
   * @param submission the job; null if it cannot be read
   * @param nowMillis time at which its state was read
   */
  public static EndWait of(@Nullable Submission submission, JobState state, long nowMillis) {
    if (submission == null || state != JobState.RUNNING || submission.isLongRunning()) {
      return new EndWait(nowMillis);
    }
    Queue terms = submission.terms();
    long target = terms == null ? 0 : terms.latencyTargetMillis();
    return new EndWait(nowMillis + Math.min(MAX_MILLIS, target / TARGET_DIVISOR));
  }

  /** Returns whether the caller still waits at a time. */
  public boolean includes(long atMillis) {
    return atMillis <= until;
  }
}
