package org.hemlockpick.cell;

import org.hemlockpick.cell.evacuation.RampUp;
import org.jspecify.annotations.Nullable;

/** Keeps new tasks from a worker for a while that could run them. */
final class WorkerAdmission {
  private long backoffUntil = Long.MIN_VALUE;
  private boolean evacuated;

  /** Limit after the newest evacuation of its zone; null if there is none. */
  private @Nullable RampUp rampUp;

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
    rampUp = isEvacuated ? null : rampUp;
  }

  /** Returns whether the availability zone of the worker is evacuated, as far as known. */
  boolean isEvacuated() {
    return evacuated;
  }

  /**
   * Updates the limit after the evacuation of its zone.
   *
   * @param endedAt time on the monotonic clock at which the evacuation ended
   * @param coldLeftMillis time for which the worker lists that it will be slow, in milliseconds
   */
  void updateRampUp(long endedAt, long coldLeftMillis, long now) {
    RampUp current = rampUp;
    if (coldLeftMillis > 0 && (current == null || current.endedAt() != endedAt)) {
      current = new RampUp(endedAt);
    }
    rampUp = current;
    if (current != null) {
      current.update(coldLeftMillis, now);
    }
  }

  /** Returns whether it is still slow after an evacuation, as far as known. */
  boolean isRecovering() {
    return rampUp != null && !rampUp.isOver();
  }

  /** Returns whether a worker that is recovering gets no more tasks before one has completed. */
  boolean isAtLimit(Iterable<Run> runs) {
    RampUp current = rampUp;
    if (current == null || current.isOver()) {
      return false;
    }
    int started = 0;
    for (Run run : runs) {
      started += run.startedAt() >= current.endedAt() ? 1 : 0;
    }
    return started >= current.limit();
  }

  /** Records a run that has completed, with the time that was expected, in milliseconds. */
  void onDone(Run run, long tookMillis, long expectedMillis) {
    RampUp current = rampUp;
    if (current != null && run.startedAt() >= current.endedAt()) {
      current.onCompleted(tookMillis, expectedMillis);
    }
  }
}
