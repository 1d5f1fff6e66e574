package org.hemlockpick.cell;

/**
 * A start of a task that may crash its worker. It is stored before the order, until it is known how
 * the run ended, so that a later holder can find out whether the worker crashed under it.
 *
 * @param attempt number of the attempt
 * @param worker identifier of the worker
 * @param bootTimeMillis start of the worker's boot; 0 if it is not known
 * @param address address of the worker
 */
record WatchedStart(int attempt, String worker, long bootTimeMillis, String address) {
  /** Returns the start of a run at the boot of its worker that is known now. */
  static WatchedStart of(Run run) {
    WorkerEntry entry = run.worker().entry();
    return new WatchedStart(run.attempt(), entry.id(), entry.bootTimeMillis(), entry.address());
  }

  /** Returns whether a boot of the worker is known to be another one. */
  boolean isOtherBoot(long otherMillis) {
    return bootTimeMillis != 0 && otherMillis != 0 && otherMillis != bootTimeMillis;
  }
}
