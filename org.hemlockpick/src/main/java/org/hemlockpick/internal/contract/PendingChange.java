package org.hemlockpick.internal.contract;

import org.hemlockpick.proto.ContractApply;

/** Holds an operator's change until it is answered. */
final class PendingChange {
  private final ContractApply apply;
  private final String writeId;
  private final long expiresAt;
  private long attemptedVersion;

  PendingChange(ContractApply apply, String writeId, long expiresAt) {
    this.apply = apply;
    this.writeId = writeId;
    this.expiresAt = expiresAt;
  }

  ContractApply apply() {
    return apply;
  }

  String writeId() {
    return writeId;
  }

  boolean isExpired(long now) {
    return now >= expiresAt;
  }

  /** Returns the newest version for which an insert was sent; 0 if none was sent. */
  long attemptedVersion() {
    return attemptedVersion;
  }

  void setAttemptedVersion(long version) {
    attemptedVersion = version;
  }
}
