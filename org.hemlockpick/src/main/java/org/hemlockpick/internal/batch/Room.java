package org.hemlockpick.internal.batch;

import org.hemlockpick.internal.ownership.Worker;

/** Holds what a worker has left for tasks that are assigned in one run. */
final class Room {
  final Worker worker;
  private Amounts free;
  private Amounts ahead;

  /**
   * Creates the room of a worker.
   *
   * @param free what is left now
   * @param ahead what may be assigned in total, including what has to wait for room
   */
  Room(Worker worker, Amounts free, Amounts ahead) {
    this.worker = worker;
    this.free = free;
    this.ahead = ahead;
  }

  long freeCpuMillis() {
    return free.cpuMillis();
  }

  long aheadCpuMillis() {
    return ahead.cpuMillis();
  }

  boolean fitsNow(Amounts need) {
    return free.holds(need);
  }

  boolean fitsAhead(Amounts need) {
    return ahead.holds(need);
  }

  void take(Amounts need) {
    free = free.minus(need);
    ahead = ahead.minus(need);
  }
}
