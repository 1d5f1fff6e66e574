package org.hemlockpick.cell;

/**
 * Decides when the next planning pass is due: soon after a change, but so that passes leave most of
 * the processor's time to calls. Under a backlog a pass takes long, as it tries every waiting task.
 */
final class PlanningSchedule {
  /** Maximum interval between passes, in milliseconds. */
  private static final long MAX_INTERVAL_MILLIS = 100;

  /** Minimum interval between passes, in milliseconds. */
  private static final long MIN_INTERVAL_MILLIS = 10;

  /** Minimum interval between the starts of two passes, as a multiple of the duration of one. */
  private static final int INTERVAL_PER_DURATION = 4;

  private long lastStartAt = Long.MIN_VALUE / 2;
  private long lastDurationMillis;

  /**
   * Returns whether a pass is due.
   *
   * @param now time on the monotonic clock, in milliseconds
   * @param hasChanged whether tasks or capacity have changed since the last pass
   */
  boolean isDue(long now, boolean hasChanged) {
    long pause = Math.max(MIN_INTERVAL_MILLIS, INTERVAL_PER_DURATION * lastDurationMillis);
    long interval = hasChanged ? Math.min(MAX_INTERVAL_MILLIS, pause) : MAX_INTERVAL_MILLIS;
    return now - lastStartAt >= interval;
  }

  /** Records a pass by its start and end on the monotonic clock, in milliseconds. */
  void onPass(long startedAt, long endedAt) {
    lastStartAt = startedAt;
    lastDurationMillis = endedAt - startedAt;
  }
}
