package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Moves long-running tasks out of evacuated availability zones, a few at a time. A task is stopped
 * only once there is capacity for it elsewhere, and as its step allows; leaving workers are up to
 * {@link DrainController}.
 */
final class EvacuationMoves {
  /** Interval between two looks for tasks that can be moved, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 50;

  /**
   * Interval between two looks for gangs and fillers that can be moved, in milliseconds: no
   * capacity is reserved for them, so that the one that was stopped last must be placed before.
   */
  private static final long UNRESERVED_INTERVAL_MILLIS = 2_000;

  private static final String REASON = "its zone is evacuated";

  private final TaskRunner runner;
  private final CellMetrics metrics;

  /** Returns whether the worker that is reserved for a task has enough free capacity. */
  private final Predicate<Task> hasReservedCapacity;

  /** Returns whether a task, or its whole gang, could be placed on other workers now. */
  private final Predicate<Task> isPlaceableElsewhere;

  private long nextCheckAt = Long.MIN_VALUE;
  private long nextUnreservedAt = Long.MIN_VALUE;

  EvacuationMoves(
      TaskRunner runner,
      CellMetrics metrics,
      Predicate<Task> hasReservedCapacity,
      Predicate<Task> isPlaceableElsewhere) {
    this.runner = runner;
    this.metrics = metrics;
    this.hasReservedCapacity = hasReservedCapacity;
    this.isPlaceableElsewhere = isPlaceableElsewhere;
  }

  /** Stops the tasks that can be moved now. */
  void run(long now, Iterable<Worker> workers) {
    if (now < nextCheckAt) {
      return;
    }
    nextCheckAt = now + CHECK_INTERVAL_MILLIS;
    List<Run> unreserved = new ArrayList<>();
    for (Worker worker : workers) {
      if (worker.admission().isEvacuated() && !worker.entry().draining()) {
        moveReserved(worker, now, unreserved);
      }
    }
    if (now >= nextUnreservedAt && moveAny(unreserved, now)) {
      nextUnreservedAt = now + UNRESERVED_INTERVAL_MILLIS;
    }
  }

  /**
   * Stops the tasks of a worker for which capacity is reserved.
   *
   * @param unreserved receives the runs of those for which none can be
   */
  private void moveReserved(Worker worker, long now, List<Run> unreserved) {
    for (Run run : List.copyOf(worker.runs())) {
      if (run.state() != Run.State.RUNNING || !run.step().longRunning()) {
        continue;
      }
      if (!CapacityReserver.isReservable(run.step())) {
        unreserved.add(run);
      } else if (hasReservedCapacity.test(run.task())) {
        tryMove(run, now);
      }
    }
  }

  /** Stops the first gang or filler for which there is capacity; returns whether there is one. */
  private boolean moveAny(List<Run> runs, long now) {
    Set<StepRun> denied = new HashSet<>();
    for (Run run : runs) {
      StepRun step = run.task().step();
      if (!denied.add(step)) {
        continue;
      }
      if (isPlaceableElsewhere.test(run.task())
          && (run.step().gang() ? tryMoveGang(run) : tryMove(run, now))) {
        return true;
      }
    }
    return false;
  }

  private boolean tryMove(Run run, long now) {
    boolean isMoved = DisruptionBudget.allowsMove(run, now) && runner.tryStop(run, REASON);
    if (isMoved) {
      metrics.count("evacuation.moves");
    }
    return isMoved;
  }

  /** Stops all members of a gang, as they only run together. */
  private boolean tryMoveGang(Run run) {
    if (!DisruptionBudget.allowsStop(run)) {
      return false;
    }
    for (Task member : run.task().step().tasks()) {
      @Nullable Run other = member.run();
      if (other != null) {
        runner.stop(other, REASON);
        metrics.count("evacuation.moves");
      }
    }
    return true;
  }
}
