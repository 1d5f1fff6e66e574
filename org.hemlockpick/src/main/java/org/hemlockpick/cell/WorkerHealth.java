package org.hemlockpick.cell;

/**
 * Assesses a worker by the outcomes of its runs. A worker with consecutive failures is paused for a
 * while, and then given one run at a time as a test.
 */
final class WorkerHealth {
  /** Consecutive failures that make a worker suspect. */
  private static final int FAILURES_UNTIL_SUSPECT = 2;

  private static final long FIRST_PAUSE_MILLIS = 1_500;
  private static final long MAX_PAUSE_MILLIS = 6_000;

  /** Age up to which a run is a test of its worker, in milliseconds. */
  private static final long TEST_MILLIS = 3_000;

  /** The same for a run without progress, which may be stopped for that. */
  private static final long MAX_TEST_MILLIS = 10_000;

  private int failuresInRow;
  private long pause = FIRST_PAUSE_MILLIS;
  private long pausedUntil = Long.MIN_VALUE;

  /** Time on the monotonic clock of the newest failure. */
  private long failedAt = Long.MIN_VALUE / 2;

  void onDone() {
    failuresInRow = 0;
    pause = FIRST_PAUSE_MILLIS;
    pausedUntil = Long.MIN_VALUE;
  }

  /** Counts a failed run; returns whether this pauses the worker. */
  boolean onFailed(long nowMillis) {
    failuresInRow++;
    failedAt = nowMillis;
    return failuresInRow >= FAILURES_UNTIL_SUSPECT && pause(nowMillis);
  }

  /** Counts a stalled run; returns whether this pauses the worker. */
  boolean onStalled(long nowMillis) {
    failuresInRow = Math.max(failuresInRow + 1, FAILURES_UNTIL_SUSPECT);
    failedAt = nowMillis;
    return pause(nowMillis);
  }

  /** Returns whether the last runs failed, so that a run has to succeed first. */
  boolean isSuspect() {
    return failuresInRow >= FAILURES_UNTIL_SUSPECT;
  }

  /** Returns the time on the monotonic clock of the newest failure; long ago if there is none. */
  long failedAt() {
    return failedAt;
  }

  /**
   * Returns whether a run may still show whether its worker is sound, so that no other one is tried
   * beside it. One that lasts does not end by itself and shows nothing.
   */
  static boolean isTest(Run run, long nowMillis) {
    long age = nowMillis - run.startedAt();
    boolean isOpen = run.progressPercent() == 0 && age < MAX_TEST_MILLIS;
    return !run.step().longRunning() && (isOpen || age < TEST_MILLIS);
  }

  /** Returns whether the newest run failed. */
  boolean hasLastRunFailed() {
    return failuresInRow > 0;
  }

  /** Returns whether it is given no tasks at all. */
  boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntil;
  }

  private boolean pause(long nowMillis) {
    if (isPaused(nowMillis)) {
      return false;
    }
    pausedUntil = nowMillis + pause;
    pause = Math.min(pause * 2, MAX_PAUSE_MILLIS);
    return true;
  }
}
