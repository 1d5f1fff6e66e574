package org.hemlockpick.internal.limit;

import java.util.List;

/** Chooses when and whom one account asks for units, ever less often while nothing comes. */
final class LoanSearch {
  private static final long FIRST_INTERVAL_MILLIS = 100;
  private static final long LAST_INTERVAL_MILLIS = 1_600;

  private long nextAt = Long.MIN_VALUE;
  private long intervalMillis = FIRST_INTERVAL_MILLIS;
  private int turn;

  boolean isDue(long now) {
    return now >= nextAt;
  }

  /** Returns the next of the candidates, which are not empty, and begins the interval. */
  <T> T next(List<T> candidates, long now) {
    if (now - LAST_INTERVAL_MILLIS > nextAt) {
      succeed();
    }
    nextAt = now + intervalMillis;
    intervalMillis = Math.min(LAST_INTERVAL_MILLIS, 2 * intervalMillis);
    return candidates.get(turn++ % candidates.size());
  }

  /** Begins anew with the shortest interval, since units came. */
  void succeed() {
    intervalMillis = FIRST_INTERVAL_MILLIS;
    turn = 0;
  }
}
