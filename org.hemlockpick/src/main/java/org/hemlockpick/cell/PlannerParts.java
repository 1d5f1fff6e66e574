package org.hemlockpick.cell;

import java.util.function.Predicate;
import org.hemlockpick.cell.speculation.RemainingTimePolicy;

/** Creates the planner of a holder and what it decides with. */
final class PlannerParts {
  private final ReservationTable reservations = new ReservationTable();
  private final Candidates candidates;
  private final PlacementPolicy placement;
  private final DrainDeadline drainDeadline;
  private final CapacityReserver reserver;
  private final Planner planner;

  /**
   * Creates a planner that has planned nothing.
   *
   * @param isStartable returns whether a task is certain to have no runs that are not known
   */
  PlannerParts(
      CellSettings settings,
      JobTable jobs,
      WorkerTable workers,
      JobLifecycle lifecycle,
      RunTimeEstimator estimator,
      InterferenceModel interference,
      TaskRunner runner,
      QueueResolver queues,
      Predicate<Task> isStartable,
      LoopClock clock,
      DecisionLog log,
      CellMetrics metrics) {
    this.candidates = new Candidates(workers, reservations);
    this.placement = new InterferenceAwarePlacement(interference);
    this.drainDeadline = new DrainDeadline(settings, clock);
    this.reserver =
        new CapacityReserver(
            workers,
            candidates,
            reservations,
            new CapacityForecast(estimator),
            placement,
            drainDeadline,
            runner::tryStop,
            queues::queue,
            log,
            metrics);
    CopyStarter copies =
        new CopyStarter(
            jobs,
            candidates,
            placement,
            new RemainingTimePolicy(),
            estimator,
            runner,
            queues::queue,
            isStartable,
            log,
            metrics);
    this.planner =
        new Planner(
            new ReadyQueue(
                jobs, lifecycle, new SlackPriority(estimator), clock, queues::queue, isStartable),
            runner,
            candidates,
            reserver,
            reservations,
            placement,
            copies,
            clock,
            queues::queue);
  }

  Planner planner() {
    return planner;
  }

  ReservationTable reservations() {
    return reservations;
  }

  Candidates candidates() {
    return candidates;
  }

  PlacementPolicy placement() {
    return placement;
  }

  DrainDeadline drainDeadline() {
    return drainDeadline;
  }

  CapacityReserver reserver() {
    return reserver;
  }
}
