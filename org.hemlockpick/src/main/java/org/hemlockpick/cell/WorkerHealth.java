package org.hemlockpick.cell;

/**
 * Judges a worker by the ends of the runs on it. A worker that fails run after run gets no work for
 * a while, then a single run as a test.
 */
final class WorkerHealth {
  /** Failures in a row that make a worker suspect. */
  private static final int FAILURES_UNTIL_SUSPECT = 2;

  private static final long FIRST_PAUSE_MILLIS = 1_500;
  private static final long MAX_PAUSE_MILLIS = 6_000;

  private int failuresInRow;
  private long pause = FIRST_PAUSE_MILLIS;
  private long pausedUntil = Long.MIN_VALUE;

  void onDone() {
    failuresInRow = 0;
    pause = FIRST_PAUSE_MILLIS;
    pausedUntil = Long.MIN_VALUE;
  }

  /** Counts a failed run; returns whether the worker became suspect by it. */
  boolean onFailed(long nowMillis) {
    failuresInRow++;
    return failuresInRow >= FAILURES_UNTIL_SUSPECT && pause(nowMillis);
  }

  /** Counts a run that stood still; returns whether the worker became suspect by it. */
  boolean onStalled(long nowMillis) {
    failuresInRow = Math.max(failuresInRow + 1, FAILURES_UNTIL_SUSPECT);
    return pause(nowMillis);
  }

  /** Tells whether the last runs failed, so that a success has to come first. */
  boolean isSuspect() {
    return failuresInRow >= FAILURES_UNTIL_SUSPECT;
  }

  /** Tells whether the newest run failed. */
  boolean hasLastRunFailed() {
    return failuresInRow > 0;
  }

  /** Tells whether it gets no work at all. */
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
