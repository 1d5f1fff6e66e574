package org.hemlockpick.cell;

/** Keeps new tasks from a worker for a while that could run them. */
final class WorkerAdmission {
  private long backoffUntil = Long.MIN_VALUE;
  private boolean evacuated;

  /** Rejects new tasks until a time on the monotonic clock. */
  void backOffUntil(long untilMillis) {
    backoffUntil = Math.max(backoffUntil, untilMillis);
  }

  boolean isBackingOff(long nowMillis) {
    return nowMillis < backoffUntil;
  }

  /** Sets whether the availability zone of the worker is evacuated. */
  void setEvacuated(boolean isEvacuated) {
    evacuated = isEvacuated;
  }

  /** Returns whether the availability zone of the worker is evacuated, as far as known. */
  boolean isEvacuated() {
    return evacuated;
  }
}
