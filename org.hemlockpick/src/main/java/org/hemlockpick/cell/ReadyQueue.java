package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.hemlockpick.cell.ReadyTasks.Kind;
import org.hemlockpick.cell.limit.WatchedStartBudget;
import org.jspecify.annotations.Nullable;

/** Collects the ready tasks in the order in which they are placed. */
final class ReadyQueue {
  /**
   * Time after which one task of a job of which nothing runs goes ahead of others, in milliseconds.
   */
  private static final long MAX_OVERTAKEN_MILLIS = 2_000;

  private final JobTable jobs;
  private final JobLifecycle lifecycle;
  private final PriorityPolicy priority;
  private final LoopClock clock;

  /** Returns the queue of a job; null if no configuration contains it. */
  private final Function<Job, @Nullable Queue> queues;

  /** Returns whether a task is certain not to run anywhere. */
  private final Predicate<Task> isStartable;

  ReadyQueue(
      JobTable jobs,
      JobLifecycle lifecycle,
      PriorityPolicy priority,
      LoopClock clock,
      Function<Job, @Nullable Queue> queues,
      Predicate<Task> isStartable) {
    this.jobs = jobs;
    this.lifecycle = lifecycle;
    this.priority = priority;
    this.clock = clock;
    this.queues = queues;
    this.isStartable = isStartable;
  }

  /** Opens the occurrences that are due and returns all ready tasks. */
  List<ReadyTasks> collect() {
    long wall = clock.wallMillis();
    long now = clock.monotonicMillis();
    List<ReadyTasks> ready = new ArrayList<>();
    for (Job job : List.copyOf(jobs.open())) {
      Queue queue = queues.apply(job);
      if (queue == null || lifecycle.failIfAttemptsExhausted(job, queue.maxAttempts())) {
        continue;
      }
      job.openDueOccurrences(wall);
      int before = ready.size();
      WatchedStartBudget budget = new WatchedStartBudget(job.watchedStarts());
      for (StepRun step : job.stepRuns()) {
        if (!step.isDone() && hasReady(step, now) && job.areDependenciesDone(step)) {
          add(step, queue, budget, now, wall, ready);
        }
      }
      if (job.hasRuns()) {
        job.setHasRun(now);
      } else {
        advanceStarved(ready, before, now);
      }
    }
    ready.sort(Comparator.comparing(ReadyTasks::rank));
    return ready;
  }

  /**
   * Puts one task of a job of which nothing runs ahead of other jobs if it has waited too long.
   * Only fillers can be overtaken for as long as others keep coming while the workers count as
   * empty, as their CPU is not reserved.
   *
   * @param from index of the first ready tasks of the job
   */
  private void advanceStarved(List<ReadyTasks> ready, int from, long now) {
    for (ReadyTasks tasks : List.copyOf(ready.subList(from, ready.size()))) {
      Task first = tasks.tasks().get(0);
      boolean isShortFiller = tasks.step().step().filler() && !tasks.step().step().longRunning();
      long since = Math.max(now - first.waitedMillis(now), tasks.step().job().hadRunAt());
      if (isShortFiller && now - since >= MAX_OVERTAKEN_MILLIS) {
        List<Task> advanced = tasks.isGang() ? tasks.tasks() : List.of(first);
        PriorityPolicy.Rank rank = priority.rankOfStarved(since);
        ready.add(new ReadyTasks(tasks.step(), tasks.kind(), advanced, tasks.queue(), rank));
        ready.remove(tasks);
        addRest(tasks, advanced.size(), ready);
        return;
      }
    }
  }

  private static void addRest(ReadyTasks tasks, int from, List<ReadyTasks> ready) {
    List<Task> rest = tasks.tasks().subList(from, tasks.tasks().size());
    if (!rest.isEmpty()) {
      ready.add(new ReadyTasks(tasks.step(), tasks.kind(), rest, tasks.queue(), tasks.rank()));
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

  private static int countWatched(List<Task> tasks) {
    return (int) tasks.stream().filter(task -> task.crashes().isWatched()).count();
  }

  private void add(
      StepRun step,
      Queue queue,
      WatchedStartBudget budget,
      long now,
      long wall,
      List<ReadyTasks> ready) {
    if (step.step().gang()) {
      boolean areReady = step.tasks().stream().allMatch(task -> isReady(task, now));
      if (areReady && budget.admit(countWatched(step.tasks()))) {
        Kind kind = Kind.ofGang(step.tasks());
        PriorityPolicy.Rank rank = priority.rank(step, kind.isRestart(), queue, wall);
        step.tasks().forEach(task -> task.setReady(now));
        ready.add(new ReadyTasks(step, kind, step.tasks(), queue, rank));
      }
      return;
    }
    Map<Kind, List<Task>> kinds = new LinkedHashMap<>();
    for (Task task : step.tasks()) {
      if (isReady(task, now) && budget.admit(countWatched(List.of(task)))) {
        task.setReady(now);
        kinds.computeIfAbsent(Kind.of(task), kind -> new ArrayList<>()).add(task);
      }
    }
    kinds.forEach(
        (kind, tasks) -> {
          PriorityPolicy.Rank rank = priority.rank(step, kind.isRestart(), queue, wall);
          ready.add(new ReadyTasks(step, kind, tasks, queue, rank));
        });
  }
}
