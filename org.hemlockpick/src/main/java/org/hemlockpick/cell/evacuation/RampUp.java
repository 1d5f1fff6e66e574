package org.hemlockpick.cell.evacuation;

/**
 * Limits how many tasks at a time a worker gets that is still slow after the evacuation of its
 * availability zone: one at first, and twice as many after each task that completes in time.
 */
public final class RampUp {
  /** Time after the end of the evacuation from which nothing is limited, in milliseconds. */
  public static final long MAX_MILLIS = 10_000;

  /** Run time up to which a task completes in time, in percent of what is expected. */
  private static final long IN_TIME_PERCENT = 150;

  /** Number of tasks that must complete in time before the worker has recovered. */
  private static final int MIN_IN_TIME = 2;

  /** Number of tasks in time from which more do not raise the limit. */
  private static final int MAX_DOUBLINGS = 16;

  private final long endedAt;
  private int inTime;
  private boolean over;

  /**
   * Creates the limit of a worker on which no task has completed yet.
   *
   * @param endedAt time on the monotonic clock at which the evacuation ended
   */
  public RampUp(long endedAt) {
    this.endedAt = endedAt;
  }

  /** Returns the time on the monotonic clock at which the evacuation ended. */
  public long endedAt() {
    return endedAt;
  }

  /** Returns the maximum number of tasks started since the evacuation that run at a time. */
  public int limit() {
    return over ? Integer.MAX_VALUE : 1 << Math.min(inTime, MAX_DOUBLINGS);
  }

  /** Records a task that was started since the evacuation and has completed. */
  public void onCompleted(long tookMillis, long expectedMillis) {
    inTime += tookMillis * 100 <= expectedMillis * IN_TIME_PERCENT ? 1 : 0;
  }

  /**
   * Ends the limit once the worker is not slow any more.
   *
   * @param coldLeftMillis time for which the worker lists that it will be slow, in milliseconds
   */
  public void update(long coldLeftMillis, long now) {
    boolean hasRecovered = coldLeftMillis == 0 && inTime >= MIN_IN_TIME;
    over |= hasRecovered || now - endedAt >= MAX_MILLIS;
  }

  /** Returns whether nothing is limited any more. */
  public boolean isOver() {
    return over;
  }
}
