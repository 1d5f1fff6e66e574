package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/** Determines whether a worker may be assigned tasks at all. */
final class WorkerEligibility {
  private WorkerEligibility() {}

  /** Returns why a worker may not be assigned any task; null if it may. */
  static @Nullable IneligibleReason reason(Worker worker, long nowMillis) {
    if (!worker.isListed()) {
      return IneligibleReason.UNLISTED;
    }
    if (worker.isUnresponsive()) {
      return IneligibleReason.UNRESPONSIVE;
    }
    if (!worker.hasAcknowledgedToken()) {
      return IneligibleReason.TOKEN_NOT_ACKNOWLEDGED;
    }
    if (!worker.isOnRoster()) {
      return IneligibleReason.NOT_ON_ROSTER;
    }
    if (worker.hasUnknownRuns()) {
      return IneligibleReason.UNKNOWN_RUNS;
    }
    if (worker.entry().draining()) {
      return IneligibleReason.DRAINING;
    }
    if (worker.admission().isEvacuated()) {
      return IneligibleReason.EVACUATED;
    }
    if (worker.admission().isBackingOff(nowMillis)) {
      return IneligibleReason.BACKING_OFF;
    }
    if (!worker.leases().hasClock()) {
      return IneligibleReason.NO_CLOCK;
    }
    return worker.listedCapacity().isReliable(nowMillis) ? null : IneligibleReason.OLD_CAPACITY;
  }
}
