package org.hemlockpick.cell;

/**
 * Estimates a worker's clock, on which its leases are granted, and tracks the time by which every
 * lease that may be in force has expired. Times are in milliseconds.
 */
final class WorkerLeases {
  /** Minimum rate of a worker's clock, relative to the local monotonic clock. */
  private static final double MIN_CLOCK_RATE = 0.98;

  /**
   * Lower bound of the worker's clock at {@code clockReadAt}, a time on the local monotonic clock.
   */
  private long clockMillis;

  private long clockReadAt = Long.MIN_VALUE;

  /**
   * Time on the local monotonic clock by which every lease has expired, even on the slowest clock.
   */
  private long expiredAt = Long.MIN_VALUE;

  /** Sets the clock to that of a boot that has just started. */
  void onRestarted(long nowMillis) {
    clockMillis = 0;
    clockReadAt = nowMillis;
  }

  /**
   * Updates the estimate of the worker's clock from an answer of the known boot. The answer may be
   * read long after it was given, so the clock now shows at least this value.
   */
  void observeClock(long workerMillis, long nowMillis) {
    if (workerMillis <= 0) {
      return;
    }
    clockMillis = hasClock() ? Math.max(workerMillis, minClock(nowMillis)) : workerMillis;
    clockReadAt = nowMillis;
  }

  /** Returns the minimum that the worker's clock can show now. */
  private long minClock(long nowMillis) {
    return clockMillis + (long) ((nowMillis - clockReadAt) * MIN_CLOCK_RATE);
  }

  /** Returns whether the worker's clock has been read. */
  boolean hasClock() {
    return clockReadAt != Long.MIN_VALUE;
  }

  /**
   * Returns the expiry of a lease on the worker's clock, and records that the lease may be in
   * force.
   */
  long grant(long nowMillis, long leaseMillis) {
    record(nowMillis, leaseMillis);
    return minClock(nowMillis) + leaseMillis;
  }

  /**
   * Records that a lease may begin as late as now. A lease named on the clock of an earlier boot
   * counts, on a new boot, from when the order is carried out.
   */
  void record(long nowMillis, long leaseMillis) {
    expiredAt = Math.max(expiredAt, nowMillis + CellTiming.maxLeaseMillis(leaseMillis));
  }

  /** Returns whether every lease that was ever granted to the worker has expired for certain. */
  boolean areExpired(long nowMillis) {
    return nowMillis >= expiredAt;
  }

  /** Returns how long a lease may still be in force, in milliseconds. */
  long remainingMillis(long nowMillis) {
    return areExpired(nowMillis) ? 0 : expiredAt - nowMillis;
  }
}
