package org.hemlockpick.internal.evacuation;

import org.hemlockpick.proto.EvacuationChange;

/** Holds an operator's change until it is answered. */
final class PendingEvacuation {
  private static final long NO_ATTEMPT = -1;

  private final EvacuationChange change;
  private final long expiresAt;
  private long attemptedVersion = NO_ATTEMPT;

  PendingEvacuation(EvacuationChange change, long expiresAt) {
    this.change = change;
    this.expiresAt = expiresAt;
  }

  EvacuationChange change() {
    return change;
  }

  boolean isExpired(long now) {
    return now >= expiresAt;
  }

  /** Returns whether a write was sent that may have been applied or may still be. */
  boolean mayApply() {
    return attemptedVersion != NO_ATTEMPT;
  }

  /** Returns whether a write was sent that a row of this version proves to be decided. */
  boolean isDecidedBy(long version) {
    return mayApply() && version != attemptedVersion;
  }

  /** Records that a write was sent that applies only to the given version of the row. */
  void attempt(long expectedVersion) {
    attemptedVersion = expectedVersion;
  }

  /** Records that no write that was sent can still be applied. */
  void clearAttempt() {
    attemptedVersion = NO_ATTEMPT;
  }
}
