package org.hemlockpick.cell;

/** Timing of a cell's lease. */
final class CellTiming {
  /** Interval between reads of the cell's lease. */
  static final long POLL_INTERVAL_MILLIS = 500;

  /** Maximum interval between writes of the holder, each of which renews the lease. */
  static final long RENEWAL_INTERVAL_MILLIS = 600;

  /** Age of the last renewal from which the table service counts as slow or unavailable. */
  static final long LATE_RENEWAL_MILLIS = 1_000;

  /** Minimum interval between writes of the holder, so that changes are batched. */
  static final long MIN_COMMIT_INTERVAL_MILLIS = 50;

  /** Time without a renewal after which another entry instance takes the cell. */
  static final long TAKEOVER_MILLIS = 2_000;

  /**
   * Time after the last renewal for which the holder continues to give orders. Longer than a usual
   * outage of the table service, during which nobody can take the cell.
   */
  static final long HOLDER_LEASE_MILLIS = 8_000;

  /** Minimum time after a renewal for which the holder grants leases at workers. */
  private static final long MIN_GRANT_MILLIS = 2_000;

  /**
   * Divergence of the two clocks, or gap between checks, from which the process counts as
   * suspended.
   */
  static final long SUSPENSION_MILLIS = 400;

  /**
   * Longest real duration of a lease in percent of its nominal one, as a worker's clock may be
   * slow.
   */
  private static final long SLOWEST_CLOCK_PERCENT = 102;

  /** Margin added to the duration of a lease before it counts as expired. */
  private static final long EXPIRY_MARGIN_MILLIS = 150;

  /**
   * Maximum age of the reading of a capacity on which a start relies at a worker that does not
   * guard it. A capacity that has shrunk counts 4 s and a heartbeat later; its worker may write it
   * with its next heartbeat only, and an order may take as long as its timeout.
   */
  static final long MAX_CAPACITY_AGE_MILLIS = 4_000 - WorkerPort.ORDER_TIMEOUT_MILLIS;

  /** Timeout of a call to the table service. */
  static final long STORE_TIMEOUT_MILLIS = 1_000;

  private CellTiming() {}

  /**
   * Returns the time after a renewal for which the holder grants leases at workers: so long that
   * they expire no sooner than its own lease does, and not longer, as a successor that cannot reach
   * a worker waits for them to expire.
   *
   * @param leaseMillis maximum duration of a lease on a worker's clock
   */
  static long grantMillis(long leaseMillis) {
    return Math.max(MIN_GRANT_MILLIS, HOLDER_LEASE_MILLIS - leaseMillis);
  }

  /**
   * Returns the time after which a lease has expired even on the slowest clock, counted from before
   * it was granted.
   *
   * @param leaseMillis duration of the lease on the worker's clock
   */
  static long maxLeaseMillis(long leaseMillis) {
    return leaseMillis * SLOWEST_CLOCK_PERCENT / 100 + EXPIRY_MARGIN_MILLIS;
  }
}
