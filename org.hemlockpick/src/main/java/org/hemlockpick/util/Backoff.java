package org.hemlockpick.util;

import java.util.random.RandomGenerator;

/** Spaces out attempts: doubles the delay after each failure and spreads it at random. */
public final class Backoff {
  private final long firstMillis;
  private final long lastMillis;
  private final RandomGenerator random;
  private long millis;

  /**
   * Creates it with the shortest delay.
   *
   * @param firstMillis mean of the first delay
   * @param lastMillis mean of the longest delay
   */
  public Backoff(long firstMillis, long lastMillis, RandomGenerator random) {
    this.firstMillis = firstMillis;
    this.lastMillis = lastMillis;
    this.random = random;
    this.millis = firstMillis;
  }

  /** Returns the delay before the next attempt, in milliseconds. */
  public long next() {
    long delay = millis / 2 + random.nextLong(millis);
    millis = Math.min(lastMillis, millis * 2);
    return delay;
  }

  /** Starts again with the shortest delay. */
  public void reset() {
    millis = firstMillis;
  }
}
