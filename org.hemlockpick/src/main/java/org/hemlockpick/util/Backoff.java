package org.hemlockpick.util;

import java.util.random.RandomGenerator;

/** Computes retry delays: doubles the delay after each failure and randomizes it. */
public final class Backoff {
  private final long minMillis;
  private final long maxMillis;
  private final RandomGenerator random;
  private long meanMillis;

  /**
   * Creates a backoff that starts with the shortest delay.
   *
   * @param minMillis mean of the first delay
   * @param maxMillis mean of the longest delay
   */
  public Backoff(long minMillis, long maxMillis, RandomGenerator random) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = random;
    this.meanMillis = minMillis;
  }

  /** Returns the delay before the next attempt, in milliseconds. */
  public long next() {
    long delay = meanMillis / 2 + random.nextLong(meanMillis);
    meanMillis = Math.min(maxMillis, meanMillis * 2);
    return delay;
  }

  /** Restarts with the shortest delay. */
  public void reset() {
    meanMillis = minMillis;
  }
}
