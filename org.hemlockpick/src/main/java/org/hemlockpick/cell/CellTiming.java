package org.hemlockpick.cell;

/** Holds the times of a cell's lease, in milliseconds. */
final class CellTiming {
  /** Pause between two looks at the cell's lease. */
  static final long POLL_INTERVAL_MILLIS = 500;

  /** Longest pause between two writes of the holder. */
  static final long RENEWAL_INTERVAL_MILLIS = 600;

  /** Age of the last renewal from which the table service is taken to be slow or away. */
  static final long LATE_RENEWAL_MILLIS = 1_000;

  /** Least pause between two writes of the holder; gathers what is to be stored. */
  static final long MIN_COMMIT_INTERVAL_MILLIS = 50;

  /** Time without a renewal after which another entry instance takes the cell. */
  static final long TAKEOVER_MILLIS = 2_000;

  /**
   * Time after the last renewal for which the holder goes on giving orders. Longer than a usual
   * outage of the table service; while it is away nobody can take the cell.
   */
  static final long HOLDER_LEASE_MILLIS = 8_000;

  /** Least time after a renewal for which the holder grants leases at workers. */
  private static final long MIN_GRANT_MILLIS = 2_000;

  /** Difference of the two clocks by which a suspension of the process shows. */
  static final long SUSPENSION_MILLIS = 400;

  /** A worker's clock may be slow, so that its lease lasts longer by this share, in percent. */
  private static final long SLOWEST_CLOCK_PERCENT = 102;

  /** Time on top of a lease until its end is taken as certain. */
  private static final long EXPIRY_MARGIN_MILLIS = 150;

  /** Time limit of a call to the table service. */
  static final long STORE_TIMEOUT_MILLIS = 1_000;

  private CellTiming() {}

  /**
   * Returns the time after a renewal for which the holder grants leases at workers: so long that
   * they end no sooner than its own lease does, and not longer, as a successor that cannot reach a
   * worker waits for them.
   *
   * @param leaseMillis longest lease on a worker's clock
   */
  static long grantMillis(long leaseMillis) {
    return Math.max(MIN_GRANT_MILLIS, HOLDER_LEASE_MILLIS - leaseMillis);
  }

  /**
   * Returns the time after which a lease has certainly ended, counted from before it was granted.
   *
   * @param leaseMillis length of the lease on the worker's clock
   */
  static long maxLeaseMillis(long leaseMillis) {
    return leaseMillis * SLOWEST_CLOCK_PERCENT / 100 + EXPIRY_MARGIN_MILLIS;
  }
}
