package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether the holder of a cell may give orders: for a limited time after each renewal of
 * its lease, but not after the process was suspended for so long that another may have taken the
 * cell, and not while a release that it has sent may still be applied.
 */
final class LeaseValidity {
  /** Age of a renewal up to which nobody else can have taken the cell, in milliseconds. */
  private static final long EXCLUSIVE_MILLIS =
      CellTiming.TAKEOVER_MILLIS - CellTiming.SUSPENSION_MILLIS;

  private long renewalSentAt;
  private long lastCheckAt;

  /** Wall clock minus monotonic clock at the last check; null before the first. */
  private @Nullable Long wallOffset;

  private boolean renewalRequired;
  private int requirementCount;
  private boolean releasing;
  private boolean releaseOutcomeUnknown;

  /**
   * Creates the validity of a lease that was just acquired.
   *
   * @param requestedAt time on the monotonic clock before the lease was requested, in milliseconds
   */
  LeaseValidity(long requestedAt) {
    this.renewalSentAt = requestedAt;
    this.lastCheckAt = requestedAt;
  }

  /**
   * Records a renewal.
   *
   * @param sentAt time on the monotonic clock before the renewal was sent, in milliseconds
   * @param requirementsWhenSent {@link #requirementCount()} when it was sent; it does not satisfy a
   *     later requirement
   */
  void renew(long sentAt, int requirementsWhenSent) {
    renewalSentAt = sentAt;
    renewalRequired &= requirementCount != requirementsWhenSent;
    // The condition of a release that was sent before the renewal no longer holds.
    releasing = false;
    releaseOutcomeUnknown = false;
  }

  /** Records that a release is sent: from now on another may take the cell at once. */
  void onReleaseSent() {
    releasing = true;
  }

  /** Records that the release that was sent last may still be applied. */
  void onReleaseUnknown() {
    releaseOutcomeUnknown = true;
  }

  /** Records that the release that was sent last was not applied and will not be. */
  void onReleaseNotDone() {
    releasing = releaseOutcomeUnknown;
  }

  /** Requires a renewal before the next order; only one that is sent from now on counts. */
  void requireRenewal() {
    renewalRequired = true;
    requirementCount++;
  }

  /** Returns how often a renewal has been required so far. */
  int requirementCount() {
    return requirementCount;
  }

  /** Returns whether a renewal is required before the next order. */
  boolean isRenewalRequired() {
    return renewalRequired;
  }

  /**
   * Returns whether an order may be given. A lease that the order grants must count from the same
   * time, as the process may be suspended between this call and the order.
   *
   * @param now time on the monotonic clock in milliseconds
   * @param wall wall clock time in milliseconds, which advances while the machine is suspended
   */
  boolean allowsOrders(long now, long wall) {
    checkForSuspension(now);
    checkWallOffset(wall - now);
    return !renewalRequired && !releasing && renewalAge(now) < CellTiming.HOLDER_LEASE_MILLIS;
  }

  /** Returns whether nobody else can have taken the cell since the last renewal. */
  boolean isExclusive(long now) {
    return !renewalRequired && !releasing && renewalAge(now) < EXCLUSIVE_MILLIS;
  }

  /** Returns the latest time up to now at which nobody else can have held the cell. */
  long exclusiveUntil(long now) {
    return isExclusive(now) ? now : renewalSentAt;
  }

  /** Returns the time since the last renewal was sent, in milliseconds. */
  long renewalAge(long now) {
    return now - renewalSentAt;
  }

  /**
   * Requires a renewal if the two clocks have diverged: for how long the machine was suspended is
   * unknown, as the wall clock may have been set.
   */
  private void checkWallOffset(long offset) {
    Long before = wallOffset;
    wallOffset = offset;
    if (before != null && Math.abs(offset - before) >= CellTiming.SUSPENSION_MILLIS) {
      requireRenewal();
    }
  }

  /**
   * Requires a renewal after a gap between checks that counts as a suspension, unless the last
   * renewal is recent. The holder normally checks many times in such a span.
   */
  private void checkForSuspension(long now) {
    boolean suspended = now - lastCheckAt >= CellTiming.SUSPENSION_MILLIS;
    lastCheckAt = now;
    if (suspended && renewalAge(now) >= EXCLUSIVE_MILLIS) {
      requireRenewal();
    }
  }
}
