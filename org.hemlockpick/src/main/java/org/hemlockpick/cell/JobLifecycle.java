package org.hemlockpick.cell;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.List;
import java.util.stream.Collectors;
import org.hemlockpick.cell.TaskCrashes.Crash;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.jspecify.annotations.Nullable;

/**
 * Updates the state of jobs as their tasks start, complete and fail, and schedules the changes to
 * be stored.
 */
final class JobLifecycle {
  /** Pause before a failed task is retried. */
  private static final long RETRY_PAUSE_MILLIS = 20;

  private final JobTable jobs;
  private final CellJournal journal;
  private final LoopClock clock;
  private final DecisionLog log;
  private final RunTimeEstimator estimator;

  JobLifecycle(
      JobTable jobs,
      CellJournal journal,
      LoopClock clock,
      DecisionLog log,
      RunTimeEstimator estimator) {
    this.jobs = jobs;
    this.journal = journal;
    this.clock = clock;
    this.log = log;
    this.estimator = estimator;
  }

  /** Records that a task of a job has started. */
  void onStarted(Job job) {
    if (job.state() == JobState.QUEUED) {
      job.setState(JobState.RUNNING);
      journal.markDirty(job);
    }
  }

  /**
   * Records the completion of a run.
   *
   * @param task task of the run
   * @param attempt number of the attempt
   * @param worker worker that it was on
   * @param run the run; null if it is unknown
   */
  void onCompletion(
      Task task,
      int attempt,
      Worker worker,
      CompletionKind kind,
      String checkpoint,
      @Nullable Run run,
      int maxAttempts) {
    task.recordAttempt(attempt);
    onStartResolved(task, attempt);
    if (task.isDone() || task.job().state().isFinal()) {
      return;
    }
    switch (kind) {
      case DONE -> onDone(task, worker, run);
      case FAILED -> onFailed(task, attempt, worker, checkpoint, maxAttempts);
      case STOPPED, LAPSED, BROKEN, ALONE -> saveCheckpoint(task, attempt, checkpoint);
    }
  }

  /**
   * Counts a crash of a worker that a run of a task may have caused, and fails the job if the task
   * is to be given up.
   *
   * @param isAlone whether no other run can have caused it
   */
  void onWorkerCrashed(Task task, Crash crash, boolean isAlone) {
    Job job = task.job();
    if (task.isDone() || job.state().isFinal() || !task.crashes().add(crash)) {
      return;
    }
    task.avoid(crash.worker());
    journal.markDirty(job);
    TaskCrashes crashes = task.crashes();
    String attempt = "attempt " + crash.attempt() + " at " + crash.worker();
    String age = ", " + crash.ageMillis() + " ms after its start" + (isAlone ? ", alone" : "");
    log.decided(
        "task",
        task.id().toString(),
        crashes.isSuspect() ? "suspect" : "blamed",
        attempt + age + ", crash " + crashes.all().size());
    if (crashes.areDecisive(isAlone)) {
      String workers = crashes.all().stream().map(Crash::worker).collect(Collectors.joining(", "));
      end(job, JobState.FAILED, task.id() + " given up, workers crashed under it: " + workers);
    }
  }

  /** Records that a crash for which other tasks are blamed may be the doing of a task. */
  void onCrashDoubted(Task task) {
    if (task.isDone() || task.job().state().isFinal() || task.crashes().isDoubted()) {
      return;
    }
    task.crashes().setDoubted();
    journal.markDirty(task.job());
    log.decided("task", task.id().toString(), "in doubt", "others are blamed for the crash");
  }

  /** Has a start of a task watched; returns whether it is, as the task has not ended. */
  @CanIgnoreReturnValue
  boolean watch(Task task, WatchedStart start) {
    if (task.isDone() || task.job().state().isFinal()) {
      return false;
    }
    task.crashes().watch(start);
    journal.markDirty(task.job());
    return true;
  }

  /** Records that it is known how a start ended that may be watched. */
  void onStartResolved(Task task, int attempt) {
    if (task.crashes().unwatch(attempt)) {
      journal.markDirty(task.job());
    }
  }

  /** Clears a task of the crashes that it may have caused. */
  void onFoundSound(Task task, String reason) {
    log.decided("task", task.id().toString(), "cleared", reason);
    task.crashes().clear();
    journal.markDirty(task.job());
  }

  /** Cancels a job; {@link TaskRunner} stops its runs. */
  void cancel(Job job) {
    if (job.isCanceled()) {
      return;
    }
    job.cancel();
    if (!job.state().isFinal()) {
      end(job, JobState.CANCELED, "canceled by the caller");
    }
  }

  private void onDone(Task task, Worker worker, @Nullable Run run) {
    if (worker.health().isSuspect()) {
      log.decided("worker", worker.id(), "sound", "done: " + task.id());
    }
    worker.health().onDone();
    StepRun step = task.step();
    if (run != null) {
      long took = clock.monotonicMillis() - run.startedAt();
      worker.admission().onDone(run, took, estimator.expectedMillis(step));
      estimator.addSample(task, took);
    }
    if (step.step().longRunning()) {
      return;
    }
    if (!task.crashes().isEmpty()) {
      onFoundSound(task, "done at " + worker.id());
    }
    if (step.step().gang()) {
      step.completeAll();
    } else {
      step.complete(task);
    }
    Job job = task.job();
    journal.markDirty(job);
    if (job.isDone()) {
      end(job, JobState.COMPLETED, "all tasks are done");
    }
  }

  private void onFailed(Task task, int attempt, Worker worker, String checkpoint, int maxAttempts) {
    if (task.failedAttempts().contains(attempt)) {
      // A previous holder has counted it but could not acknowledge it to the worker.
      return;
    }
    if (worker.health().onFailed(clock.monotonicMillis())) {
      log.decided("worker", worker.id(), "paused", "runs on it fail one after the other");
    }
    Job job = task.job();
    StepRun step = task.step();
    List<Task> members = step.step().gang() ? step.tasks() : List.of(task);
    // A holder that ended between two rows may have stored the failure for some of them.
    members.stream()
        .filter(member -> !member.failedAttempts().contains(attempt))
        .forEach(member -> member.addFailure(worker.id(), attempt));
    task.setCheckpoint(attempt, checkpoint);
    task.setNotBefore(clock.monotonicMillis() + RETRY_PAUSE_MILLIS);
    journal.markDirty(job);
    if (hasExhaustedAttempts(task, maxAttempts)) {
      fail(task);
    }
  }

  /**
   * Fails an open job if one of its tasks has failed as often as its queue allows. The limit may
   * not have been known when the failures were reported, or may have been lowered since.
   *
   * @return whether the job was failed
   */
  boolean failIfAttemptsExhausted(Job job, int maxAttempts) {
    for (StepRun step : job.stepRuns()) {
      if (step.isDone()) {
        continue;
      }
      for (Task task : step.tasks()) {
        if (hasExhaustedAttempts(task, maxAttempts)) {
          fail(task);
          return true;
        }
      }
    }
    return false;
  }

  private static boolean hasExhaustedAttempts(Task task, int maxAttempts) {
    return !task.isDone() && !task.step().step().longRunning() && task.failures() >= maxAttempts;
  }

  /** Fails an open job for a reason that is not one of its tasks. */
  void fail(Job job, String reason) {
    end(job, JobState.FAILED, reason);
  }

  private void fail(Task task) {
    end(task.job(), JobState.FAILED, task.id() + " failed " + task.failures() + " times");
  }

  private void saveCheckpoint(Task task, int attempt, String checkpoint) {
    if (task.setCheckpoint(attempt, checkpoint)) {
      journal.markDirty(task.job());
    }
  }

  private void end(Job job, JobState state, String reason) {
    job.end(state, clock.wallMillis());
    jobs.close(job);
    estimator.forget(job);
    journal.markDirty(job);
    log.decided("job", job.id(), state.name(), reason);
  }
}
