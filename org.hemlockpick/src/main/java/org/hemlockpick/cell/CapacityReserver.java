package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.hemlockpick.cell.ReadyTasks.Shape;
import org.hemlockpick.cell.ReservationTable.Reservation;
import org.jspecify.annotations.Nullable;

/**
 * Reserves capacity for long-running tasks that have lost their run and fit on no worker, or that
 * will lose it, as their worker leaves, does not answer or is in an evacuated zone: nothing else is
 * started on the worker that will have enough free capacity first. Short tasks that stay there for
 * too long are stopped.
 */
final class CapacityReserver {
  /**
   * Maximum share of a service's schedulable workers that may be reserved, in percent: more than
   * one zone of six.
   */
  private static final int MAX_RESERVED_PERCENT = 20;

  /** The same for tasks that still run, so that those that have lost their run find the rest. */
  private static final int MAX_RESERVED_FOR_RUNNING_PERCENT = 10;

  /**
   * Time without a run after which other runs are stopped, in milliseconds; a task must run again
   * within 9 s.
   */
  private static final long PREEMPT_AFTER_MILLIS = 5_000;

  /** Minimum time that a reservation waits for runs to end by themselves, in milliseconds. */
  private static final long MIN_WAIT_MILLIS = 300;

  /**
   * Time before the lease of a lost worker expires from which capacity is reserved for its tasks,
   * in milliseconds.
   */
  private static final long RESERVE_BEFORE_EXPIRY_MILLIS = 1_000;

  /** Maximum number of reservations added by one planning pass; bounds its duration. */
  private static final int MAX_NEW_RESERVATIONS = 8;

  private final WorkerTable workers;
  private final Candidates candidates;
  private final ReservationTable reservations;
  private final CapacityForecast forecast;
  private final PlacementPolicy placement;
  private final DrainDeadline drainDeadline;

  /** Stops a run for a given reason. */
  private final BiConsumer<Run, String> stop;

  /** Returns the queue of a job; null if no configuration contains it. */
  private final Function<Job, @Nullable Queue> queues;

  private final DecisionLog log;
  private final CellMetrics metrics;
  private int newReservationsLeft;

  /** Time of the first review; when a task last ran is unknown for any time before it. */
  private long firstReviewAt = Long.MAX_VALUE;

  /** Reason why a reservation is dropped. */
  private enum DropReason {
    NO_QUEUE,

    /** Its task has a run, at the reserved worker or elsewhere. */
    RUNS,

    /** Its task has ended or may not start yet. */
    NOT_WANTED,

    WORKER_UNSUITABLE,

    /** The long-running tasks of the worker leave too little capacity. */
    TOO_LITTLE_CAPACITY
  }

  CapacityReserver(
      WorkerTable workers,
      Candidates candidates,
      ReservationTable reservations,
      CapacityForecast forecast,
      PlacementPolicy placement,
      DrainDeadline drainDeadline,
      BiConsumer<Run, String> stop,
      Function<Job, @Nullable Queue> queues,
      DecisionLog log,
      CellMetrics metrics) {
    this.workers = workers;
    this.candidates = candidates;
    this.reservations = reservations;
    this.forecast = forecast;
    this.placement = placement;
    this.drainDeadline = drainDeadline;
    this.stop = stop;
    this.queues = queues;
    this.log = log;
    this.metrics = metrics;
  }

  /** Removes reservations that are no longer needed, and stops short tasks for overdue ones. */
  void review(long now) {
    newReservationsLeft = MAX_NEW_RESERVATIONS;
    firstReviewAt = Math.min(firstReviewAt, now);
    Set<Worker> seen = new HashSet<>();
    for (Reservation reservation : reservations.all()) {
      DropReason reason = dropReason(reservation, now);
      if (reason != null) {
        metrics.count("reservations.dropped", reason);
        reservations.remove(reservation);
      } else if (isOverdue(reservation, now) && seen.add(reservation.worker())) {
        preemptRuns(reservation, now);
      }
    }
    reserveAhead(now);
  }

  /** Returns why a reservation is dropped; null if it is kept. */
  private @Nullable DropReason dropReason(Reservation reservation, long now) {
    Task task = reservation.task();
    Worker worker = reservation.worker();
    Queue queue = queues.apply(task.job());
    if (queue == null) {
      return DropReason.NO_QUEUE;
    }
    if (!needsCapacity(task, now)) {
      return task.run() == null ? DropReason.NOT_WANTED : DropReason.RUNS;
    }
    if (!candidates.isSuitable(task, queue, worker, now)) {
      return DropReason.WORKER_UNSUITABLE;
    }
    boolean fits =
        reservations
            .reservedAt(worker)
            .fitsInto(CapacityForecast.capacityWithoutShortTasks(worker));
    return fits ? null : DropReason.TOO_LITTLE_CAPACITY;
  }

  /** Returns whether a task waits for capacity, or will once its run is lost or stopped. */
  private boolean needsCapacity(Task task, long now) {
    if (task.job().state().isFinal()) {
      return false;
    }
    Run run = task.run();
    if (run == null) {
      return task.isReady(now);
    }
    return isAlmostLost(run.worker(), now) || isToBeMoved(run, now);
  }

  /**
   * Returns whether a run is stopped, or may be by now, because its worker leaves or is in an
   * evacuated zone. When the worker is gone, its lease counts.
   */
  private boolean isToBeMoved(Run run, long now) {
    Worker worker = run.worker();
    if (!isLeft(worker) || worker.isUnreachable() || !worker.isListed()) {
      return false;
    }
    if (run.state() == Run.State.STOPPING || drainDeadline.isNear(worker)) {
      return true;
    }
    return worker.entry().draining()
        ? DisruptionBudget.allowsStop(run)
        : DisruptionBudget.allowsMove(run, now);
  }

  /** Returns whether the long-running tasks of a worker are moved to others. */
  private static boolean isLeft(Worker worker) {
    return worker.entry().draining() || worker.admission().isEvacuated();
  }

  private static boolean isAlmostLost(Worker worker, long now) {
    boolean isLost = worker.isUnresponsive() || !worker.isListed();
    return isLost && worker.leases().remainingMillis(now) <= RESERVE_BEFORE_EXPIRY_MILLIS;
  }

  /**
   * Reserves capacity for tasks whose runs are about to be lost or stopped with their worker, the
   * most urgent ones first.
   */
  private void reserveAhead(long now) {
    Predicate<Worker> isUrgent =
        worker -> isAlmostLost(worker, now) || drainDeadline.isNear(worker);
    reserveForRunsAt(isUrgent, now);
    reserveForRunsAt(isUrgent.negate().and(worker -> worker.entry().draining()), now);
    reserveForRunsAt(
        isUrgent.negate().and(w -> w.admission().isEvacuated() && !w.entry().draining()), now);
  }

  private void reserveForRunsAt(Predicate<Worker> condition, long now) {
    Set<Shape> denied = new HashSet<>();
    for (Worker worker : workers.all()) {
      if (condition.test(worker)) {
        reserveForRuns(worker.runs(), denied, now);
      }
    }
  }

  /**
   * Reserves capacity for the tasks of some runs.
   *
   * @param denied shapes of tasks for which none can be reserved; new ones are added
   */
  private void reserveForRuns(Collection<Run> runs, Set<Shape> denied, long now) {
    for (Run run : runs) {
      Task task = run.task();
      Queue queue = queues.apply(task.job());
      boolean isOwn = task.run() == run && isReservable(run.step());
      if (!isOwn || queue == null || reservations.of(task) != null || !needsCapacity(task, now)) {
        continue;
      }
      Shape shape = Shape.of(task, queue);
      if (!denied.contains(shape) && !reserve(task, queue, now)) {
        denied.add(shape);
      }
    }
  }

  /** Returns whether capacity can be reserved for the tasks of a step one by one. */
  static boolean isReservable(Step step) {
    return step.longRunning() && !step.filler() && !step.gang();
  }

  private boolean isOverdue(Reservation reservation, long now) {
    if (now < reservation.sinceMillis() + MIN_WAIT_MILLIS) {
      return false;
    }
    Task task = reservation.task();
    Run run = task.run();
    if (run != null && !isAlmostLost(run.worker(), now)) {
      return drainDeadline.isNear(run.worker());
    }
    // What is almost lost has not been seen to run since the last answer of its worker.
    long lastRanAt =
        run != null && run.wasObservedRunning()
            ? run.worker().lastAnswerSentAt()
            : task.lastRanAt();
    return now >= Math.max(firstReviewAt, lastRanAt) + PREEMPT_AFTER_MILLIS;
  }

  private void preemptRuns(Reservation reservation, long now) {
    Worker worker = reservation.worker();
    for (Run run : CapacityForecast.runsToPreempt(worker, reservations.reservedAt(worker), now)) {
      stop.accept(run, "frees capacity for " + reservation.task().id());
    }
  }

  /** Reserves capacity for a task that fits on no worker; returns false if none can be reserved. */
  boolean reserve(Task task, Queue queue, long now) {
    Worker worker = newReservationsLeft > 0 ? earliestAvailable(task, queue, now) : null;
    if (worker == null) {
      metrics.count("reservations.denied");
      return false;
    }
    newReservationsLeft--;
    reservations.add(new Reservation(task, worker, now));
    metrics.count("reservations.added");
    ResourceAmounts wanted = reservations.reservedAt(worker);
    String wait =
        forecast.millisUntilFree(worker, wanted, now) + " ms until it has enough capacity";
    log.decided("reserve", task.id().toString(), worker.id(), wait);
    return true;
  }

  /** Returns, for the log, why no worker is reserved for a task that has lost its run. */
  String describeDenial(Task task, Queue queue, long now) {
    if (!isReservable(task.step().step())) {
      return "none is reserved for gangs and fillers";
    }
    int suitable = 0;
    int reserved = 0;
    for (Worker worker : workers.all()) {
      suitable += canHold(task, queue, worker, now) ? 1 : 0;
      reserved += reservations.workers().contains(worker) ? 1 : 0;
    }
    return "none reserved for it, " + reserved + " for others, " + suitable + " could hold it";
  }

  /** Returns whether a worker has enough capacity for a task without its short tasks. */
  private boolean canHold(Task task, Queue queue, Worker worker, long now) {
    ResourceAmounts all = reservations.reservedAt(worker).plus(task.step().step().reserved());
    return candidates.isSuitable(task, queue, worker, now)
        && all.fitsInto(CapacityForecast.capacityWithoutShortTasks(worker));
  }

  private @Nullable Worker earliestAvailable(Task task, Queue queue, long now) {
    boolean mayReserveMore = mayReserveMoreWorkers(queue.service(), maxPercent(task), now);
    ResourceAmounts wanted = task.step().step().reserved();
    List<Worker> available = new ArrayList<>();
    Worker best = null;
    long bestWait = Long.MAX_VALUE;
    for (Worker worker : mayReserveMore ? workers.all() : List.copyOf(reservations.workers())) {
      if (!canHold(task, queue, worker, now)) {
        continue;
      }
      ResourceAmounts all = reservations.reservedAt(worker).plus(wanted);
      long wait = forecast.millisUntilFree(worker, all, now);
      if (wait == 0) {
        available.add(worker);
      }
      if (wait < bestWait) {
        best = worker;
        bestWait = wait;
      }
    }
    Worker preferred = placement.choose(task, available);
    return preferred != null ? preferred : best;
  }

  /** Returns the maximum share of workers that may be reserved if one is added for a task. */
  private int maxPercent(Task task) {
    Run run = task.run();
    boolean mayWait =
        run != null
            && run.state() == Run.State.RUNNING
            && isLeft(run.worker())
            && !drainDeadline.isNear(run.worker());
    return mayWait ? MAX_RESERVED_FOR_RUNNING_PERCENT : MAX_RESERVED_PERCENT;
  }

  private boolean mayReserveMoreWorkers(String service, int maxPercent, long now) {
    int schedulable = 0;
    int reserved = 0;
    for (Worker worker : workers.all()) {
      if (worker.isSchedulable(now) && worker.entry().service().equals(service)) {
        schedulable++;
        reserved += reservations.workers().contains(worker) ? 1 : 0;
      }
    }
    return reserved < Math.max(1, schedulable * maxPercent / 100);
  }
}
