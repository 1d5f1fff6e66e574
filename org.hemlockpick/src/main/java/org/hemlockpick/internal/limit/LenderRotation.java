package org.hemlockpick.internal.limit;

import java.util.List;

/**
 * Chooses when one account asks for units and which peer it asks, with an interval that doubles
 * while no units arrive.
 */
final class LenderRotation {
  private static final long MIN_INTERVAL_MILLIS = 100;
  private static final long MAX_INTERVAL_MILLIS = 1_600;

  private long nextAskAt = Long.MIN_VALUE;
  private long intervalMillis = MIN_INTERVAL_MILLIS;
  private int nextIndex;

  boolean isDue(long now) {
    return now >= nextAskAt;
  }

  /** Returns the next of the candidates, which must not be empty, and starts the interval. */
  <T> T next(List<T> candidates, long now) {
    if (now - MAX_INTERVAL_MILLIS > nextAskAt) {
      reset();
    }
    nextAskAt = now + intervalMillis;
    intervalMillis = Math.min(MAX_INTERVAL_MILLIS, 2 * intervalMillis);
    return candidates.get(nextIndex++ % candidates.size());
  }

  /** Restarts with the shortest interval, after units arrived or after a long pause. */
  void reset() {
    intervalMillis = MIN_INTERVAL_MILLIS;
    nextIndex = 0;
  }
}
