package org.hemlockpick.internal.batch;

import org.hemlockpick.internal.ownership.Worker;

/** A worker that tasks may be assigned to in one run, with the resources it has left. */
final class PlacementCandidate {
  final Worker worker;
  private ResourceAmounts free;
  private ResourceAmounts assignable;

  /**
   * Creates a candidate.
   *
   * @param free resources that are free now
   * @param assignable resources that may still be assigned, including those of tasks that have to
   *     wait until capacity becomes free
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
