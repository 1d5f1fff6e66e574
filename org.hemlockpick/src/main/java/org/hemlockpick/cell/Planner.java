package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.hemlockpick.cell.ReadyTasks.Shape;
import org.hemlockpick.cell.ReservationTable.Reservation;
import org.jspecify.annotations.Nullable;

/** Assigns workers to ready tasks, in the order of a policy. */
final class Planner {
  /** Maximum number of start orders sent in one tick; bounds its duration. */
  private static final int MAX_STARTS_PER_PASS = 150;

  private final ReadyQueue readyQueue;
  private final TaskRunner runner;
  private final Candidates candidates;
  private final CapacityReserver reserver;
  private final ReservationTable reservations;
  private final PlacementPolicy placement;
  private final CopyStarter copies;
  private final LoopClock clock;

  /** Returns the queue of a job; null if no configuration contains it. */
  private final Function<Job, @Nullable Queue> queues;

  Planner(
      ReadyQueue readyQueue,
      TaskRunner runner,
      Candidates candidates,
      CapacityReserver reserver,
      ReservationTable reservations,
      PlacementPolicy placement,
      CopyStarter copies,
      LoopClock clock,
      Function<Job, @Nullable Queue> queues) {
    this.readyQueue = readyQueue;
    this.runner = runner;
    this.candidates = candidates;
    this.reserver = reserver;
    this.reservations = reservations;
    this.placement = placement;
    this.copies = copies;
    this.clock = clock;
    this.queues = queues;
  }

  /**
   * Starts every ready task that can be placed, up to the limit of the pass, and then copies of
   * stragglers where none waits for the capacity.
   */
  void run() {
    long now = clock.monotonicMillis();
    reserver.review(now);
    List<ReadyTasks> ready = readyQueue.collect();
    Pass pass = new Pass(now);
    pass.place(ready);
    if (pass.starts < MAX_STARTS_PER_PASS) {
      copies.run(pass.schedulable, ready);
    }
  }

  /** Returns whether a running task could be placed on another worker. */
  boolean isPlaceableElsewhere(Task task) {
    Queue queue = queues.apply(task.job());
    if (queue == null) {
      return false;
    }
    List<Worker> eligible =
        candidates.of(task, queue, candidates.schedulable(clock.monotonicMillis()));
    Run run = task.run();
    eligible.removeIf(worker -> run != null && worker == run.worker());
    return placement.choose(task, eligible) != null;
  }

  /** Returns whether a running task, with its whole gang, could be placed on other workers. */
  boolean isMovable(Task task) {
    Queue queue = queues.apply(task.job());
    if (queue == null || !task.step().step().gang()) {
      return isPlaceableElsewhere(task);
    }
    List<Task> members = task.step().tasks();
    return new Pass(clock.monotonicMillis()).tryOut(members, queue).size() == members.size();
  }

  /**
   * Returns whether the worker that is reserved for a task has enough free capacity by now, also
   * for the other tasks that wait for it there.
   */
  boolean hasReservedCapacity(Task task) {
    Queue queue = queues.apply(task.job());
    if (queue == null) {
      return false;
    }
    Worker worker = reservedWorker(task, queue, clock.monotonicMillis());
    return worker != null && reservations.awaitedWith(task, worker).fitsInto(worker.free());
  }

  /** Returns the worker that is reserved for a task if it has enough free capacity by now. */
  private @Nullable Worker reservedWorker(Task task, Queue queue, long now) {
    Reservation reservation = reservations.of(task);
    if (reservation == null) {
      return null;
    }
    Worker worker = reservation.worker();
    return candidates.ineligibleReason(task, queue, worker, now, false) == null ? worker : null;
  }

  /** One pass over all ready tasks. */
  private final class Pass {
    private final long now;
    private final SchedulableWorkers schedulable;
    private final ShortTaskPool shortTaskPool;

    /** Shapes of which a task fitted on no worker. */
    private final Set<Shape> shapesWithoutCapacity = new HashSet<>();

    /** Shapes of which a task that has waited fitted on no worker. */
    private final Set<Shape> shapesWithoutResort = new HashSet<>();

    /** Shapes for which no capacity can be reserved. */
    private final Set<Shape> shapesWithoutReservation = new HashSet<>();

    private int starts;

    Pass(long now) {
      this.now = now;
      this.schedulable = candidates.schedulable(now);
      this.shortTaskPool = new ShortTaskPool(schedulable);
    }

    void place(List<ReadyTasks> ready) {
      for (ReadyTasks tasks : ready) {
        if (starts >= MAX_STARTS_PER_PASS) {
          return;
        }
        if (tasks.isGang()) {
          placeGang(tasks);
        } else if (tasks.kind().isRestart()) {
          placeRestarts(tasks);
        } else {
          placeTasks(tasks);
        }
      }
    }

    private void placeTasks(ReadyTasks tasks) {
      Shape shape = tasks.shape();
      for (Task task : tasks.tasks()) {
        if (isWithoutWorker(shape, task)) {
          continue;
        }
        Worker worker = choose(task, tasks.queue());
        if (worker != null) {
          start(task, worker);
        } else if (!Candidates.isLastAttempt(task, tasks.queue())) {
          // A last attempt has stricter requirements, so its failure says nothing about other
          // tasks.
          setWithoutWorker(shape, task);
        }
      }
    }

    /** Returns whether a task of the same shape that had waited as long fitted on no worker. */
    private boolean isWithoutWorker(Shape shape, Task task) {
      return (task.hasWaited(now) ? shapesWithoutResort : shapesWithoutCapacity).contains(shape);
    }

    /** Records that a task fitted on no worker; one that has waited longer may. */
    private void setWithoutWorker(Shape shape, Task task) {
      shapesWithoutCapacity.add(shape);
      if (task.hasWaited(now)) {
        shapesWithoutResort.add(shape);
      }
    }

    private @Nullable Worker choose(Task task, Queue queue) {
      List<Worker> eligible = candidates.of(task, queue, schedulable);
      if (task.step().step().longRunning() && !task.mayHaveStarted()) {
        eligible = shortTaskPool.exclude(eligible, queue.service());
      }
      return chooseAmong(task, queue, eligible);
    }

    /** Chooses among the eligible workers, or else among the last resorts, if only as a trial. */
    private @Nullable Worker chooseAmong(Task task, Queue queue, List<Worker> eligible) {
      Worker worker = chooseAmong(task, eligible);
      if (worker != null || !task.hasWaited(now)) {
        return worker;
      }
      List<Worker> resorts = candidates.lastResorts(task, queue, schedulable);
      worker = chooseAmong(task, resorts);
      return worker != null ? worker : placement.chooseForTrial(task, resorts);
    }

    private @Nullable Worker chooseAmong(Task task, List<Worker> eligible) {
      if (task.crashes().isSuspect()) {
        Worker worker = placement.choose(task, SuspectPlacement.leastAtRisk(eligible));
        if (worker != null) {
          return worker;
        }
      }
      return placement.choose(task, eligible);
    }

    /**
     * Places tasks that have lost their runs; each goes to the worker reserved for it once that has
     * enough free capacity.
     */
    private void placeRestarts(ReadyTasks tasks) {
      Shape shape = tasks.shape();
      for (Task task : tasks.tasks()) {
        Worker worker = reservedWorker(task, tasks.queue(), now);
        if (worker == null && !isWithoutWorker(shape, task)) {
          worker = choose(task, tasks.queue());
        }
        if (worker != null) {
          start(task, worker);
          continue;
        }
        setWithoutWorker(shape, task);
        reserve(task, tasks.queue(), shape);
      }
    }

    private void reserve(Task task, Queue queue, Shape shape) {
      boolean isExempt =
          reservations.of(task) != null || !CapacityReserver.isReservable(task.step().step());
      if (!isExempt
          && !shapesWithoutReservation.contains(shape)
          && !reserver.reserve(task, queue, now)) {
        shapesWithoutReservation.add(shape);
      }
    }

    private void start(Task task, Worker worker) {
      runner.start(task, worker);
      starts++;
    }

    /** Places all members of a gang or none. */
    private void placeGang(ReadyTasks gang) {
      Shape shape = gang.shape();
      Task first = gang.tasks().get(0);
      if (isWithoutWorker(shape, first) || isWithoutWorker(shape.single(), first)) {
        return;
      }
      List<Worker> chosen = tryOut(gang.tasks(), gang.queue());
      if (chosen.size() < gang.tasks().size()) {
        setWithoutWorker(shape, first);
        return;
      }
      runner.startGang(gang.tasks(), chosen);
      starts += gang.tasks().size();
    }

    /** Returns the workers on which the members of a gang fit at once, up to the first without. */
    private List<Worker> tryOut(List<Task> members, Queue queue) {
      // Capacity is tried out with runs that are never ordered.
      List<Worker> chosen = new ArrayList<>();
      List<Run> trials = new ArrayList<>();
      for (Task task : members) {
        List<Worker> eligible = candidates.of(task, queue, schedulable);
        Worker worker = chooseAmong(task, queue, eligible);
        if (worker == null) {
          break;
        }
        Run trial = new Run(task, 0, worker, Run.State.STARTING, now);
        worker.add(trial);
        trials.add(trial);
        chosen.add(worker);
      }
      trials.forEach(trial -> trial.worker().remove(trial));
      return chosen;
    }
  }
}
