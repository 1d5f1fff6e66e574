package org.hemlockpick.transport.peer;

import java.util.random.RandomGenerator;

/**
 * Spaces out attempts to connect: doubles the delay after each failure and spreads it at random.
 */
final class Backoff {
  private static final long FIRST_MILLIS = 50;
  private static final long LAST_MILLIS = 1_000;

  private final RandomGenerator random;
  private long millis = FIRST_MILLIS;

  Backoff(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the delay before the next attempt, in milliseconds. */
  long next() {
    long delay = millis / 2 + random.nextLong(millis);
    millis = Math.min(LAST_MILLIS, millis * 2);
    return delay;
  }

  /** Starts again with the shortest delay. */
  void reset() {
    millis = FIRST_MILLIS;
  }
}
