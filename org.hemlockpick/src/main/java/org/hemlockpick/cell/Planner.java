package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.hemlockpick.cell.ReadyTasks.Shape;
import org.hemlockpick.cell.ReservationTable.Reservation;
import org.jspecify.annotations.Nullable;

/** Gives room to the tasks that are ready, in the order of a policy. */
final class Planner {
  /** Most orders to start that are sent in one tick; bounds its length. */
  private static final int MAX_STARTS = 150;

  private final ReadyQueue queue;
  private final WorkerTable workers;
  private final TaskRunner runner;
  private final Candidates candidates;
  private final RoomKeeper keeper;
  private final ReservationTable reservations;
  private final PlacementPolicy placement;
  private final LoopClock clock;

  /** Returns the queue of a job; null if it is in no configuration. */
  private final Function<Job, @Nullable Queue> queues;

  Planner(
      ReadyQueue queue,
      WorkerTable workers,
      TaskRunner runner,
      Candidates candidates,
      RoomKeeper keeper,
      ReservationTable reservations,
      PlacementPolicy placement,
      LoopClock clock,
      Function<Job, @Nullable Queue> queues) {
    this.queue = queue;
    this.workers = workers;
    this.runner = runner;
    this.candidates = candidates;
    this.keeper = keeper;
    this.reservations = reservations;
    this.placement = placement;
    this.clock = clock;
    this.queues = queues;
  }

  /** Starts what can be started. */
  void run() {
    long now = clock.monotonicMillis();
    keeper.review(now);
    new Plan(now).place(queue.take());
  }

  /** Tells whether a task that runs would find room at another worker. */
  boolean isPlaceable(Task task) {
    Queue queue = queues.apply(task.job());
    if (queue == null) {
      return false;
    }
    List<Worker> open = candidates.of(task, queue, clock.monotonicMillis());
    Run run = task.run();
    open.removeIf(worker -> run != null && worker == run.worker());
    return placement.choose(task, open) != null;
  }

  /** One pass over all that is ready. */
  private final class Plan {
    private final long now;
    private final SetApart apart;

    /** Shapes of which a task has found no room. */
    private final Set<Shape> full = new HashSet<>();

    /** Shapes for which no room can be kept. */
    private final Set<Shape> unkept = new HashSet<>();

    private int starts;

    Plan(long now) {
      this.now = now;
      this.apart = new SetApart(workers.all(), now);
    }

    void place(List<ReadyTasks> ready) {
      for (ReadyTasks tasks : ready) {
        if (starts >= MAX_STARTS) {
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
      if (full.contains(shape)) {
        return;
      }
      for (Task task : tasks.tasks()) {
        Worker worker = choose(task, tasks.queue());
        if (worker != null) {
          start(task, worker);
        } else if (!Candidates.isLastAttempt(task, tasks.queue())) {
          // A last attempt is choosier than other tasks, and tells nothing of the room for them.
          full.add(shape);
          return;
        }
      }
    }

    private @Nullable Worker choose(Task task, Queue queue) {
      List<Worker> open = candidates.of(task, queue, now);
      if (task.step().step().longRunning() && !task.mayHaveRun()) {
        open = apart.leaveOut(open, queue.service());
      }
      return placement.choose(task, open);
    }

    /** Places tasks that have lost their runs, each at the worker that is kept for it at last. */
    private void placeRestarts(ReadyTasks tasks) {
      Shape shape = tasks.shape();
      for (Task task : tasks.tasks()) {
        Worker worker = keptWorker(task, tasks.queue());
        if (worker == null && !full.contains(shape)) {
          worker = choose(task, tasks.queue());
        }
        if (worker != null) {
          start(task, worker);
          continue;
        }
        full.add(shape);
        keep(task, tasks.queue(), shape);
      }
    }

    /** Returns the worker that is kept for a task if it has room by now. */
    private @Nullable Worker keptWorker(Task task, Queue queue) {
      Reservation kept = reservations.of(task);
      if (kept == null) {
        return null;
      }
      Worker worker = kept.worker();
      return candidates.obstacle(task, queue, worker, now, false) == null ? worker : null;
    }

    private void keep(Task task, Queue queue, Shape shape) {
      boolean isKept = reservations.of(task) != null || !RoomKeeper.isKeepable(task.step().step());
      if (!isKept && !unkept.contains(shape) && !keeper.reserve(task, queue, now)) {
        unkept.add(shape);
      }
    }

    private void start(Task task, Worker worker) {
      runner.start(task, worker);
      starts++;
    }

    /** Places all members of a gang or none. */
    private void placeGang(ReadyTasks gang) {
      Shape shape = gang.shape();
      if (full.contains(shape) || full.contains(shape.single())) {
        return;
      }
      // Room is tried out with runs that are never sent.
      List<Worker> places = new ArrayList<>();
      List<Run> trials = new ArrayList<>();
      for (Task task : gang.tasks()) {
        Worker worker = placement.choose(task, candidates.of(task, gang.queue(), now));
        if (worker == null) {
          break;
        }
        Run trial = new Run(task, 0, worker, Run.State.STARTING, now);
        worker.add(trial);
        trials.add(trial);
        places.add(worker);
      }
      trials.forEach(trial -> trial.worker().remove(trial));
      if (places.size() < gang.tasks().size()) {
        full.add(shape);
        return;
      }
      runner.startGang(gang.tasks(), places);
      starts += gang.tasks().size();
    }
  }
}
