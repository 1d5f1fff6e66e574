package org.hemlockpick.cell;

import java.util.List;
import java.util.function.Predicate;

/**
 * Stops runs on workers that are about to leave, unless they complete before, so that their tasks
 * run elsewhere. A long-running task goes on until capacity is free for it on another worker, or
 * until there is just enough time left for the stop.
 */
final class DrainController {
  /** Interval between two looks for long-running tasks that can be moved, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 50;

  private static final String REASON = "its worker leaves";

  private final DrainDeadline deadline;
  private final TaskRunner runner;
  private final RunTimeEstimator estimator;
  private final LoopClock clock;

  /** Returns whether the worker that is reserved for a task has enough free capacity. */
  private final Predicate<Task> hasReservedCapacity;

  /** Time on the monotonic clock of the next look for tasks that can be moved. */
  private long nextCheckAt = Long.MIN_VALUE;

  DrainController(
      DrainDeadline deadline,
      TaskRunner runner,
      RunTimeEstimator estimator,
      LoopClock clock,
      Predicate<Task> hasReservedCapacity) {
    this.deadline = deadline;
    this.runner = runner;
    this.estimator = estimator;
    this.clock = clock;
    this.hasReservedCapacity = hasReservedCapacity;
  }

  /** Checks the runs of a worker that has just reported. */
  void onReport(Worker worker) {
    if (!worker.entry().draining()) {
      return;
    }
    for (Run run : worker.runs()) {
      if (CapacityReserver.isReservable(run.step())
          || run.state() != Run.State.RUNNING
          || completesInTime(run, worker)) {
        continue;
      }
      if (deadline.isReached(worker)) {
        runner.stop(run, REASON);
      } else {
        runner.tryStop(run, REASON);
      }
    }
  }

  /**
   * Stops the long-running tasks of draining workers for which capacity is free by now, or that
   * must be stopped: more often than the workers report, as little time may be left.
   */
  void run(long now, Iterable<Worker> workers) {
    if (now < nextCheckAt) {
      return;
    }
    nextCheckAt = now + CHECK_INTERVAL_MILLIS;
    for (Worker worker : workers) {
      if (worker.entry().draining()) {
        moveLongRunning(worker);
      }
    }
  }

  private void moveLongRunning(Worker worker) {
    for (Run run : List.copyOf(worker.runs())) {
      if (run.state() != Run.State.RUNNING || !CapacityReserver.isReservable(run.step())) {
        continue;
      }
      if (deadline.isReached(worker)) {
        runner.stop(run, REASON);
      } else if (hasReservedCapacity.test(run.task())) {
        runner.tryStop(run, REASON);
      }
    }
  }

  private boolean completesInTime(Run run, Worker worker) {
    if (run.step().longRunning()) {
      return false;
    }
    long remaining = estimator.remainingMillis(run, clock.monotonicMillis());
    return remaining <= deadline.millisForStop(worker);
  }
}
