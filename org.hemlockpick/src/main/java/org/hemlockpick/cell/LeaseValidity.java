package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether the holder of a cell may give orders: for a while after each renewal of its
 * lease, but not once the process stood still for so long that another may have taken the cell, and
 * not while a release may be carried out that it has sent.
 */
final class LeaseValidity {
  /** Age of a renewal up to which nobody else can have taken the cell, in milliseconds. */
  private static final long UNDISPUTED = CellTiming.TAKEOVER_MILLIS - CellTiming.SUSPENSION_MILLIS;

  private long renewedFrom;
  private long lookedAt;

  /** Time of day less the time on the steady clock at the last look; null before the first. */
  private @Nullable Long wallLead;

  private boolean doubted;
  private int doubts;
  private boolean releasing;
  private boolean releaseInDoubt;

  /**
   * Creates the term of a lease that was just taken.
   *
   * @param askedAt time on the steady clock before the lease was asked for, in milliseconds
   */
  LeaseValidity(long askedAt) {
    this.renewedFrom = askedAt;
    this.lookedAt = askedAt;
  }

  /**
   * Takes note of a renewal.
   *
   * @param askedAt time on the steady clock before the renewal was sent, in milliseconds
   * @param doubtsBefore number of doubts when it was sent; it ends no doubt that came later
   */
  void renew(long askedAt, int doubtsBefore) {
    renewedFrom = askedAt;
    doubted &= doubts != doubtsBefore;
    // A release that was sent before the renewal does not find its condition any more.
    releasing = false;
    releaseInDoubt = false;
  }

  /** Takes note that a release is sent: from now on another may take the cell at once. */
  void onReleaseSent() {
    releasing = true;
  }

  /** Takes note that the release that was sent last may still be carried out. */
  void onReleaseUnknown() {
    releaseInDoubt = true;
  }

  /** Takes note that the release that was sent last is certainly not carried out. */
  void onReleaseNotDone() {
    releasing = releaseInDoubt;
  }

  /** Demands a renewal before the next order, which must be sent from now on. */
  void requireRenewal() {
    doubted = true;
    doubts++;
  }

  /** Returns the number of doubts so far. */
  int requirementCount() {
    return doubts;
  }

  /** Tells whether a renewal is needed before the next order. */
  boolean isRenewalRequired() {
    return doubted;
  }

  /**
   * Tells whether an order may be given. A lease that the order grants must count from the same
   * time, as the process may stand still between this call and the order.
   *
   * @param now time on the steady clock in milliseconds
   * @param wall time of day in milliseconds: it goes on while the machine is suspended
   */
  boolean allowsOrders(long now, long wall) {
    watch(now);
    compare(wall - now);
    return !doubted && !releasing && renewalAge(now) < CellTiming.HOLDER_LEASE_MILLIS;
  }

  /** Tells whether nobody else can have taken the cell since the last renewal. */
  boolean isExclusive(long now) {
    return !doubted && !releasing && renewalAge(now) < UNDISPUTED;
  }

  /** Returns the latest time up to now at which certainly nobody else held the cell. */
  long exclusiveUntil(long now) {
    return isExclusive(now) ? now : renewedFrom;
  }

  /** Returns the time since the last renewal was sent, in milliseconds. */
  long renewalAge(long now) {
    return now - renewedFrom;
  }

  /** For how long a machine was suspended is not known, as its time of day may have been set. */
  private void compare(long lead) {
    Long before = wallLead;
    wallLead = lead;
    if (before != null && Math.abs(lead - before) >= CellTiming.SUSPENSION_MILLIS) {
      requireRenewal();
    }
  }

  /** The holder asks many times in the span that counts as a standstill. */
  private void watch(long now) {
    boolean stoodStill = now - lookedAt >= CellTiming.SUSPENSION_MILLIS;
    lookedAt = now;
    if (stoodStill && renewalAge(now) >= UNDISPUTED) {
      requireRenewal();
    }
  }
}
