package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether the holder of a cell may give orders: for a while after each renewal of its
 * lease, but not once the process stood still for so long that another may have taken the cell, and
 * not while a release may be carried out that it has sent.
 */
final class LeaseValidity {
  /** Age of a renewal up to which nobody else can have taken the cell, in milliseconds. */
  private static final long EXCLUSIVE_MILLIS =
      CellTiming.TAKEOVER_MILLIS - CellTiming.SUSPENSION_MILLIS;

  private long renewalSentAt;
  private long lastCheckAt;

  /** Time of day less the time on the steady clock at the last look; null before the first. */
  private @Nullable Long wallOffset;

  private boolean renewalRequired;
  private int requirementCount;
  private boolean releasing;
  private boolean releaseOutcomeUnknown;

  /**
   * Creates the term of a lease that was just taken.
   *
   * @param requestedAt time on the steady clock before the lease was asked for, in milliseconds
   */
  LeaseValidity(long requestedAt) {
    this.renewalSentAt = requestedAt;
    this.lastCheckAt = requestedAt;
  }

  /**
   * Takes note of a renewal.
   *
   * @param sentAt time on the steady clock before the renewal was sent, in milliseconds
   * @param requirementsWhenSent number of doubts when it was sent; it ends no doubt that came later
   */
  void renew(long sentAt, int requirementsWhenSent) {
    renewalSentAt = sentAt;
    renewalRequired &= requirementCount != requirementsWhenSent;
    // A release that was sent before the renewal does not find its condition any more.
    releasing = false;
    releaseOutcomeUnknown = false;
  }

  /** Takes note that a release is sent: from now on another may take the cell at once. */
  void onReleaseSent() {
    releasing = true;
  }

  /** Takes note that the release that was sent last may still be carried out. */
  void onReleaseUnknown() {
    releaseOutcomeUnknown = true;
  }

  /** Takes note that the release that was sent last is certainly not carried out. */
  void onReleaseNotDone() {
    releasing = releaseOutcomeUnknown;
  }

  /** Demands a renewal before the next order, which must be sent from now on. */
  void requireRenewal() {
    renewalRequired = true;
    requirementCount++;
  }

  /** Returns the number of doubts so far. */
  int requirementCount() {
    return requirementCount;
  }

  /** Tells whether a renewal is needed before the next order. */
  boolean isRenewalRequired() {
    return renewalRequired;
  }

  /**
   * Tells whether an order may be given. A lease that the order grants must count from the same
   * time, as the process may stand still between this call and the order.
   *
   * @param now time on the steady clock in milliseconds
   * @param wall time of day in milliseconds: it goes on while the machine is suspended
   */
  boolean allowsOrders(long now, long wall) {
    checkForSuspension(now);
    checkWallOffset(wall - now);
    return !renewalRequired && !releasing && renewalAge(now) < CellTiming.HOLDER_LEASE_MILLIS;
  }

  /** Tells whether nobody else can have taken the cell since the last renewal. */
  boolean isExclusive(long now) {
    return !renewalRequired && !releasing && renewalAge(now) < EXCLUSIVE_MILLIS;
  }

  /** Returns the latest time up to now at which certainly nobody else held the cell. */
  long exclusiveUntil(long now) {
    return isExclusive(now) ? now : renewalSentAt;
  }

  /** Returns the time since the last renewal was sent, in milliseconds. */
  long renewalAge(long now) {
    return now - renewalSentAt;
  }

  /** For how long a machine was suspended is not known, as its time of day may have been set. */
  private void checkWallOffset(long offset) {
    Long before = wallOffset;
    wallOffset = offset;
    if (before != null && Math.abs(offset - before) >= CellTiming.SUSPENSION_MILLIS) {
      requireRenewal();
    }
  }

  /** The holder asks many times in the span that counts as a standstill. */
  private void checkForSuspension(long now) {
    boolean suspended = now - lastCheckAt >= CellTiming.SUSPENSION_MILLIS;
    lastCheckAt = now;
    if (suspended && renewalAge(now) >= EXCLUSIVE_MILLIS) {
      requireRenewal();
    }
  }
}
