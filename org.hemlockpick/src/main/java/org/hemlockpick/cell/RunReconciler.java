package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.hemlockpick.cell.WorkerPort.CompletionReport;
import org.hemlockpick.cell.WorkerPort.HoldReply;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.cell.WorkerPort.RunReport;
import org.jspecify.annotations.Nullable;

/**
 * Reconciles the known runs with the reports of workers: handles completions, takes over the runs
 * of earlier holders, and detects runs that are gone.
 */
final class RunReconciler {
  private final TaskRunner runner;
  private final JobTable jobs;
  private final JobLifecycle lifecycle;
  private final CrashTracker crashes;
  private final LoopClock clock;
  private final DecisionLog log;
  private final CellMetrics metrics;

  /** Returns the maximum number of failed runs of a task of a job. */
  private final ToIntFunction<Job> maxAttempts;

  RunReconciler(
      TaskRunner runner,
      JobTable jobs,
      JobLifecycle lifecycle,
      CrashTracker crashes,
      LoopClock clock,
      DecisionLog log,
      CellMetrics metrics,
      ToIntFunction<Job> maxAttempts) {
    this.runner = runner;
    this.jobs = jobs;
    this.lifecycle = lifecycle;
    this.crashes = crashes;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.maxAttempts = maxAttempts;
  }

  /**
   * Handles the report of a worker.
   *
   * @param sentAt time on the monotonic clock at which the report was requested
   * @param callToken fencing token of the request
   */
  void onReport(Worker worker, HoldReply reply, long sentAt, long callToken) {
    long now = clock.monotonicMillis();
    Set<RunId> reported = new HashSet<>(processCompletions(worker, reply));
    boolean isUnknown = false;
    for (RunReport report : reply.running()) {
      reported.add(report.run());
      isUnknown |= !onRunning(worker, report, now);
      worker.run(report.run()).ifPresent(run -> clearIfSound(run, sentAt));
    }
    worker.setUnknownRuns(isUnknown);
    if (!reply.isComplete()) {
      // The completion of a run that is not named may be reported later.
      return;
    }
    crashes.onReport(worker, reported);
    for (Run run : new ArrayList<>(worker.runs())) {
      if (!reported.contains(run.id()) && run.isProvenGone(sentAt, callToken)) {
        onRunGone(run, "the worker does not report it");
      }
    }
  }

  /**
   * Processes the completions of a report. A failure to handle one does not affect those behind it;
   * the failed one is not acknowledged, so that the next report contains it again.
   *
   * @return the runs whose completions could not be handled
   */
  private Set<RunId> processCompletions(Worker worker, HoldReply reply) {
    Set<RunId> failed = new HashSet<>();
    for (CompletionReport completion : reply.completions()) {
      if (worker.completions().hasProcessed(completion.number())) {
        if (worker.run(completion.run()).isPresent()) {
          String known = ", all processed up to " + worker.completions().last();
          log.decided(
              "end",
              completion.run().task().toString(),
              "passed over",
              at(worker, completion) + known);
        }
      } else if (!tryProcess(worker, completion)) {
        failed.add(completion.run());
        continue;
      }
      worker.completions().setProcessed(completion.number(), failed.isEmpty());
    }
    worker.completions().setFailed(!failed.isEmpty());
    return failed;
  }

  /** Processes a completion; returns false if its handling failed. */
  private boolean tryProcess(Worker worker, CompletionReport completion) {
    try {
      onCompletion(worker, completion);
      return true;
    } catch (RuntimeException e) {
      log.failed(
          "end",
          completion.run().task().toString(),
          completion.kind() + ", " + at(worker, completion),
          e);
      return false;
    }
  }

  private void onCompletion(Worker worker, CompletionReport completion) {
    Run run = worker.run(completion.run()).orElse(null);
    Task task = run != null ? run.task() : jobs.task(completion.run().task()).orElse(null);
    if (task == null) {
      String kind = completion.kind() + ", ";
      log.decided(
          "end", completion.run().task().toString(), "unknown task", kind + at(worker, completion));
      return;
    }
    worker.completions().addUnrecorded(completion.number(), task.job());
    String known = describeKnown(task, completion.run().attempt(), run);
    String subject = completion.run().task().toString();
    log.decided("end", subject, completion.kind().name(), at(worker, completion) + known);
    metrics.count("ends", completion.kind());
    lifecycle.onCompletion(
        task,
        completion.run().attempt(),
        worker,
        completion.kind(),
        completion.checkpoint(),
        // The duration of an orphaned run is not known.
        run != null && task.owns(run) ? run : null,
        maxAttempts.applyAsInt(task.job()));
    if (run != null) {
      recordLastRan(run, clock.monotonicMillis());
      runner.remove(run);
      stopOther(task, run);
    }
  }

  /** Stops the other run of a task of which one is done: what it ends with counts no more. */
  private void stopOther(Task task, Run ended) {
    Run other = task.run();
    boolean isLeft = task.isDone() && task.mayHaveCopy();
    if (other == null || !isLeft || other.state() == Run.State.STOPPING) {
      return;
    }
    boolean isCopyFirst = ended.attempt() > other.attempt();
    if (isCopyFirst) {
      metrics.count("copies.first");
    }
    long wasted = clock.monotonicMillis() - other.startedAt();
    metrics.record("copies.wasted.millis", wasted);
    String first = isCopyFirst ? "copy is first" : "original is first";
    log.decided("copy", task.id().toString(), first, wasted + " ms lost");
    runner.stop(other, "another run of the task is done");
  }

  private static String at(Worker worker, CompletionReport completion) {
    String attempt = "attempt " + completion.run().attempt() + " at " + worker.id();
    return attempt
        + ", number "
        + completion.number()
        + ", born "
        + worker.entry().bootTimeMillis();
  }

  /** Returns, for the log, what was already known of a completed attempt. */
  private static String describeKnown(Task task, int attempt, @Nullable Run run) {
    if (task.isDone() || task.job().state().isFinal()) {
      return ", task had completed before";
    }
    if (task.failedAttempts().contains(attempt)) {
      return ", its failure was counted before";
    }
    return run == null ? ", unknown run" : ", new";
  }

  /** Records a run reported by a worker; returns false if its task is unknown. */
  private boolean onRunning(Worker worker, RunReport report, long now) {
    Run run = worker.run(report.run()).orElse(null);
    if (run == null) {
      run = takeOverRun(worker, report.run());
    }
    if (run == null) {
      runner.stopUnknown(worker, report.run());
      return false;
    }
    run.update(report, now);
    if (run.state() == Run.State.STARTING) {
      run.setState(Run.State.RUNNING);
      // Calls overlap: one sent later may have been carried out before the start.
      run.setReportableSince(now);
      lifecycle.onStarted(run.task().job());
    }
    return true;
  }

  /** Clears a task of the crashes that it may have caused once its run has outlived them. */
  private void clearIfSound(Run run, long aliveAt) {
    TaskCrashes blame = run.task().crashes();
    if (blame.isWatched() && aliveAt - run.runningSince() > blame.soundAfterMillis()) {
      lifecycle.onFoundSound(run.task(), "its run goes on at " + run.worker().id());
    }
  }

  /**
   * Takes over a run that another holder started. A run that must not continue is stopped, and
   * keeps its capacity until it is proven to be gone.
   *
   * @return the run; null if its task is unknown
   */
  private @Nullable Run takeOverRun(Worker worker, RunId id) {
    Task task = jobs.task(id.task()).orElse(null);
    if (task == null) {
      log.decided("run", id.task().toString(), "not adopted", worker.id() + ", unknown task");
      return null;
    }
    boolean isOver = task.isDone() || task.job().state().isFinal();
    boolean mayGoOn = task.run() == null || (task.mayHaveCopy() && task.copy() == null);
    return isOver || !mayGoOn ? stopOrphan(task, worker, id) : adopt(task, worker, id);
  }

  private Run stopOrphan(Task task, Worker worker, RunId id) {
    log.decided("run", id.task().toString(), "not adopted", worker.id());
    Run run = new Run(task, id.attempt(), worker, Run.State.RUNNING, clock.monotonicMillis());
    task.addOrphan(run);
    worker.add(run);
    runner.stop(run, "it was not adopted");
    return run;
  }

  private Run adopt(Task task, Worker worker, RunId id) {
    Run run = new Run(task, id.attempt(), worker, Run.State.RUNNING, clock.monotonicMillis());
    run.setReportableSince(clock.monotonicMillis());
    task.addRun(run);
    task.setLocated();
    worker.add(run);
    if (run.step().longRunning()) {
      runner.setPlacement(task, worker.id());
    }
    log.decided("run", id.task().toString(), "adopted", worker.id());
    return run;
  }

  /** Handles a run that is proven to have ended though its completion was not reported. */
  void onRunGone(Run run, String reason) {
    log.decided("end", run.id().task().toString(), "gone", run.worker().id() + ", " + reason);
    metrics.count("ends.GONE");
    lifecycle.onCompletion(
        run.task(),
        run.attempt(),
        run.worker(),
        CompletionKind.LAPSED,
        "",
        run,
        maxAttempts.applyAsInt(run.task().job()));
    recordLastRan(run, run.worker().lastAnswerSentAt());
    runner.remove(run);
  }

  private static void recordLastRan(Run run, long millis) {
    if (run.wasObservedRunning()) {
      run.task().setLastRanAt(millis);
    }
  }
}
