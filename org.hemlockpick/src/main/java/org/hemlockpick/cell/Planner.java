package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Gives room to the tasks that are ready, in the order of a policy. */
final class Planner {
  /** Most orders to start that are sent in one tick; bounds its length. */
  private static final int MAX_STARTS = 150;

  private final JobTable jobs;
  private final JobKeeper keeper;
  private final WorkerTable workers;
  private final TaskRunner runner;
  private final Candidates candidates;
  private final OrderPolicy order;
  private final PlacementPolicy placement;
  private final LoopClock clock;

  /** Returns the queue of a job; null if it is in no configuration. */
  private final Function<Job, @Nullable Queue> queues;

  /** Tells whether it is certain that a task runs nowhere. */
  private final Predicate<Task> isStartable;

  Planner(
      JobTable jobs,
      JobKeeper keeper,
      WorkerTable workers,
      TaskRunner runner,
      Candidates candidates,
      OrderPolicy order,
      PlacementPolicy placement,
      LoopClock clock,
      Function<Job, @Nullable Queue> queues,
      Predicate<Task> isStartable) {
    this.jobs = jobs;
    this.keeper = keeper;
    this.workers = workers;
    this.runner = runner;
    this.candidates = candidates;
    this.order = order;
    this.placement = placement;
    this.clock = clock;
    this.queues = queues;
    this.isStartable = isStartable;
  }

  /** Starts what can be started. */
  void run() {
    long wall = clock.wallMillis();
    long now = clock.monotonicMillis();
    List<Ready> ready = new ArrayList<>();
    for (Job job : List.copyOf(jobs.open())) {
      Queue queue = queues.apply(job);
      if (queue == null || keeper.failIfSpent(job, queue.maxAttempts())) {
        continue;
      }
      job.openDue(wall);
      addReady(job, queue, now, wall, ready);
    }
    ready.sort(Comparator.comparing(Ready::rank));
    place(ready, now);
  }

  private void addReady(Job job, Queue queue, long now, long wall, List<Ready> ready) {
    for (StepRun step : job.stepRuns()) {
      if (!step.isDone() && hasReady(step, now) && job.isOpen(step)) {
        ready.add(new Ready(step, queue, order.rank(step, queue, wall)));
      }
    }
  }

  private boolean hasReady(StepRun step, long now) {
    for (Task task : step.tasks()) {
      if (isReady(task, now)) {
        return true;
      }
    }
    return false;
  }

  private boolean isReady(Task task, long now) {
    return task.isReady(now) && isStartable.test(task);
  }

  private void place(List<Ready> ready, long now) {
    Set<Shape> full = new HashSet<>();
    SetApart apart = new SetApart(workers.all(), now);
    int starts = 0;
    for (Ready entry : ready) {
      Step step = entry.step().step();
      Shape shape = shape(entry, step.gang() ? step.count() : 1);
      boolean isFull = full.contains(shape) || full.contains(shape(entry, 1));
      if (starts >= MAX_STARTS || (isPlain(step) && isFull)) {
        continue;
      }
      int placed = step.gang() ? placeGang(entry, now) : placeTasks(entry, apart, now);
      starts += Math.abs(placed);
      if (placed < 0 && isPlain(step)) {
        full.add(shape);
      }
    }
  }

  private static Shape shape(Ready entry, int together) {
    Step step = entry.step().step();
    String service = entry.queue().service();
    return new Shape(service, step.demand(), step.filler(), step.lasting(), together);
  }

  private static boolean isPlain(Step step) {
    return step.requiredLabel() == null && step.maxPerWorker() == 0;
  }

  /** Places what has room; returns the number of starts, negative if a task found none. */
  private int placeTasks(Ready entry, SetApart apart, long now) {
    int placed = 0;
    for (Task task : entry.step().tasks()) {
      if (!isReady(task, now)) {
        continue;
      }
      List<Worker> open = candidates.of(task, entry.queue(), now);
      if (task.step().step().lasting() && !task.mayHaveRun()) {
        open = apart.leaveOut(open, entry.queue().service());
      }
      Worker worker = placement.choose(task, open);
      if (worker == null && Candidates.isLastAttempt(task, entry.queue())) {
        // It is choosier than the other tasks, and tells nothing of the room for them.
        continue;
      }
      if (worker == null) {
        return -placed - 1;
      }
      runner.start(task, worker);
      placed++;
    }
    return placed;
  }

  /** Places all members of a gang or none. */
  private int placeGang(Ready entry, long now) {
    List<Task> tasks = entry.step().tasks();
    for (Task task : tasks) {
      if (!isReady(task, now)) {
        return 0;
      }
    }
    // Room is tried out with runs that are never sent.
    List<Worker> places = new ArrayList<>();
    List<Run> trials = new ArrayList<>();
    for (Task task : tasks) {
      Worker worker = placement.choose(task, candidates.of(task, entry.queue(), now));
      if (worker == null) {
        break;
      }
      Run trial = new Run(task, 0, worker, Run.State.STARTING, now);
      worker.add(trial);
      trials.add(trial);
      places.add(worker);
    }
    trials.forEach(trial -> trial.worker().remove(trial));
    if (places.size() < tasks.size()) {
      return -1;
    }
    runner.startGang(tasks, places);
    return tasks.size();
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

  private record Ready(StepRun step, Queue queue, OrderPolicy.Rank rank) {}

  /**
   * What tasks have in common of which none fits if one does not.
   *
   * @param together number of tasks that need room at once, from 1; a gang that does not fit tells
   *     nothing of fewer tasks
   */
  private record Shape(
      String service, Amounts demand, boolean filler, boolean lasting, int together) {}
}
