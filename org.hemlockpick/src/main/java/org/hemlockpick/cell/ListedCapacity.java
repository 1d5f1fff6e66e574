package org.hemlockpick.cell;

/**
 * How far the capacity that a worker lists may be relied on. It may shrink while tasks run. A
 * worker that guards it refuses what exceeds it; at any other, a start that relies on an old
 * reading may exceed it.
 */
final class ListedCapacity {
  /** Precedes every other time; the time elapsed since then does not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private boolean guarded;
  private long requestedAt = NEVER;

  /** Sets whether the worker refuses what exceeds its capacity. */
  void setGuarded(boolean isGuarded) {
    guarded = isGuarded;
  }

  /**
   * Records a reading.
   *
   * @param requestedAtMillis time on the monotonic clock at which it was requested
   */
  void onRead(long requestedAtMillis) {
    requestedAt = requestedAtMillis;
  }

  /** Requires a new reading, as the age of the last one is not known. */
  void requireRead() {
    requestedAt = NEVER;
  }

  /** Returns whether a task may be started that relies on it. */
  boolean isReliable(long nowMillis) {
    return guarded || nowMillis - requestedAt <= CellTiming.MAX_CAPACITY_AGE_MILLIS;
  }

  /**
   * Returns whether an order that had no answer may be repeated at its worker: where capacity is
   * not guarded, it must not start a run that no longer fits.
   */
  boolean allowsRepeatedOrder(Worker worker, long nowMillis) {
    return guarded || (isReliable(nowMillis) && !worker.isOverCapacity());
  }
}
