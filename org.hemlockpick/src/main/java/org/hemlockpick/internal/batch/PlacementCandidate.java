package org.hemlockpick.internal.batch;

import org.hemlockpick.internal.ownership.Worker;

/** Holds what a worker has left for tasks that are assigned in one run. */
final class PlacementCandidate {
  final Worker worker;
  private ResourceAmounts free;
  private ResourceAmounts assignable;

  /**
   * Creates the room of a worker.
   *
   * @param free what is left now
   * @param assignable what may be assigned in total, including what has to wait for room
   */
  PlacementCandidate(Worker worker, ResourceAmounts free, ResourceAmounts assignable) {
    this.worker = worker;
    this.free = free;
    this.assignable = assignable;
  }

  long freeCpuMillis() {
    return free.cpuMillis();
  }

  long assignableCpuMillis() {
    return assignable.cpuMillis();
  }

  boolean fitsNow(ResourceAmounts need) {
    return free.covers(need);
  }

  boolean fitsAssignable(ResourceAmounts need) {
    return assignable.covers(need);
  }

  void reserve(ResourceAmounts need) {
    free = free.minus(need);
    assignable = assignable.minus(need);
  }
}
