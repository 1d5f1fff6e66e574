package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.hemlockpick.cell.speculation.CopyPolicy;
import org.hemlockpick.cell.speculation.RunState;
import org.hemlockpick.cell.speculation.StepState;
import org.jspecify.annotations.Nullable;

/**
 * Starts copies of stragglers of the steps that allow them, with the capacity that no ready task
 * waits for. The runs of a task are all that is known of its copies: nothing is stored.
 */
final class CopyStarter {
  /** Maximum share of the CPU of a service's schedulable workers that copies use, in percent. */
  private static final int MAX_CPU_PERCENT = 5;

  /** Interval between two looks for stragglers, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 50;

  /** Minimum time between two copies of a task, in milliseconds; a copy may be refused at once. */
  private static final long COPY_INTERVAL_MILLIS = 500;

  private final JobTable jobs;
  private final Candidates candidates;
  private final PlacementPolicy placement;
  private final CopyPolicy policy;
  private final RunTimeEstimator estimator;
  private final TaskRunner runner;

  /** Returns the queue of a job; null if no configuration contains it. */
  private final Function<Job, @Nullable Queue> queues;

  /** Returns whether a task is certain to have no runs that are not known. */
  private final Predicate<Task> isStartable;

  private final DecisionLog log;
  private final CellMetrics metrics;
  private long nextCheckAt = Long.MIN_VALUE;

  CopyStarter(
      JobTable jobs,
      Candidates candidates,
      PlacementPolicy placement,
      CopyPolicy policy,
      RunTimeEstimator estimator,
      TaskRunner runner,
      Function<Job, @Nullable Queue> queues,
      Predicate<Task> isStartable,
      DecisionLog log,
      CellMetrics metrics) {
    this.jobs = jobs;
    this.candidates = candidates;
    this.placement = placement;
    this.policy = policy;
    this.estimator = estimator;
    this.runner = runner;
    this.queues = queues;
    this.isStartable = isStartable;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Starts the copies that are worth it now.
   *
   * @param schedulable workers that may be assigned tasks
   * @param ready tasks that were ready in this pass; those that it has not started still wait
   */
  void run(SchedulableWorkers schedulable, List<ReadyTasks> ready) {
    if (schedulable.nowMillis() < nextCheckAt) {
      return;
    }
    nextCheckAt = schedulable.nowMillis() + CHECK_INTERVAL_MILLIS;
    Pass pass = null;
    for (Job job : jobs.open()) {
      Queue queue = queues.apply(job);
      if (queue == null) {
        continue;
      }
      for (StepRun step : job.stepRuns()) {
        if (step.mayHaveCopies() && !step.isDone() && step.hasRuns()) {
          pass = pass == null ? new Pass(schedulable, ready) : pass;
          pass.copyStragglers(step, queue);
        }
      }
    }
  }

  /** One pass over all steps. */
  private final class Pass {
    private final long now;
    private final SchedulableWorkers schedulable;

    /** Ready tasks that can still be in time and fitted on no worker, one of each kind and step. */
    private final List<ReadyTasks> waiting = new ArrayList<>();

    /** CPU that more copies may use, by service, in millicores. */
    private final Map<String, Long> cpuLeft = new HashMap<>();

    Pass(SchedulableWorkers schedulable, List<ReadyTasks> ready) {
      this.now = schedulable.nowMillis();
      this.schedulable = schedulable;
      for (ReadyTasks tasks : ready) {
        if (tasks.rank().inTime() && tasks.tasks().stream().anyMatch(Task::hasNoRuns)) {
          waiting.add(tasks);
        }
      }
    }

    void copyStragglers(StepRun step, Queue queue) {
      for (RunState straggler : policy.choose(stateOf(step, queue))) {
        Task task = step.tasks().get(straggler.task());
        Run run = task.run();
        if (run != null && hasCpuLeft(step, queue)) {
          tryCopy(task, run, queue, straggler);
        }
      }
    }

    private StepState stateOf(StepRun step, Queue queue) {
      int done = 0;
      List<RunState> runs = new ArrayList<>();
      for (Task task : step.tasks()) {
        done += task.isDone() ? 1 : 0;
        Run run = task.run();
        if (run != null && isCopyable(task, run, queue)) {
          runs.add(stateOf(task, run));
        }
      }
      long expected = estimator.expectedMillis(step);
      return new StepState(step.tasks().size(), done, step.countCopies(), expected, runs);
    }

    private boolean isCopyable(Task task, Run run, Queue queue) {
      boolean isAtWork = run.state() == Run.State.RUNNING || run.worker().isUnresponsive();
      boolean isOnly = task.copy() == null && task.orphan() == null;
      return isAtWork
          && isOnly
          && !task.isDone()
          && !task.crashes().isWatched()
          && task.failures() + 1 < queue.maxAttempts()
          // A failed copy is followed by none, as it costs an attempt.
          && task.failedAttempts().newest() < run.attempt()
          && now >= Math.max(task.notBefore(), task.lastCopyAt() + COPY_INTERVAL_MILLIS)
          && isStartable.test(task);
    }

    private RunState stateOf(Task task, Run run) {
      return new RunState(
          task.index(),
          now - run.startedAt(),
          run.progressPercent(),
          now - run.reportedAt(),
          run.worker().isUnresponsive(),
          !task.checkpoint().isEmpty());
    }

    private boolean hasCpuLeft(StepRun step, Queue queue) {
      long left = cpuLeft.computeIfAbsent(queue.service(), this::cpuLeft);
      return step.step().reserved().cpuMillis() <= left;
    }

    private long cpuLeft(String service) {
      long capacity = 0;
      for (Worker worker : schedulable.of(service)) {
        capacity += worker.entry().capacity().cpuMillis();
      }
      return capacity * MAX_CPU_PERCENT / 100 - cpuOfCopies(service);
    }

    private long cpuOfCopies(String service) {
      long used = 0;
      for (Job job : jobs.open()) {
        Queue queue = queues.apply(job);
        if (queue != null && queue.service().equals(service)) {
          for (StepRun step : job.stepRuns()) {
            used += step.countCopies() * step.step().reserved().cpuMillis();
          }
        }
      }
      return used;
    }

    private void tryCopy(Task task, Run run, Queue queue, RunState straggler) {
      List<Worker> eligible = candidates.of(task, queue, schedulable);
      eligible.removeIf(worker -> worker == run.worker() || isWaitedFor(worker));
      Worker worker = placement.choose(task, preferOtherRacks(task, run, eligible));
      if (worker == null) {
        return;
      }
      cpuLeft.merge(queue.service(), -task.step().step().reserved().cpuMillis(), Long::sum);
      metrics.count("copies.started");
      log.decided("copy", task.id().toString(), worker.id(), describe(run, straggler));
      runner.start(task, worker);
    }

    private String describe(Run run, RunState straggler) {
      String progress = straggler.progressPercent() + "% after " + straggler.elapsedMillis();
      String expected = " ms of " + estimator.expectedMillis(run.task().step());
      String silent = straggler.silent() ? ", silent" : "";
      return progress + expected + " expected at " + run.worker().id() + silent;
    }

    /** Returns whether a ready task that can still be in time would be started on a worker. */
    private boolean isWaitedFor(Worker worker) {
      for (ReadyTasks tasks : waiting) {
        Task first = tasks.tasks().get(0);
        boolean couldFit = first.step().step().reserved().fitsInto(worker.entry().capacity());
        if (couldFit && candidates.isSuitable(first, tasks.queue(), worker, now)) {
          return true;
        }
      }
      return false;
    }

    /**
     * Returns the workers that share the fewest labels with that of a run, as its rack may be slow;
     * all of them if the tasks are to run in one rack.
     */
    private List<Worker> preferOtherRacks(Task task, Run run, List<Worker> eligible) {
      Step step = task.step().step();
      if (step.rackLocal() || step.preferredRack() != null) {
        return eligible;
      }
      int fewest = Integer.MAX_VALUE;
      for (Worker worker : eligible) {
        fewest = Math.min(fewest, sharedLabels(worker, run.worker()));
      }
      int least = fewest;
      return eligible.stream()
          .filter(worker -> sharedLabels(worker, run.worker()) == least)
          .toList();
    }

    private int sharedLabels(Worker worker, Worker other) {
      return (int)
          worker.entry().labels().stream().filter(other.entry().labels()::contains).count();
    }
  }
}
