package org.hemlockpick.cell;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A task of a job: what is known of it, and its run if it has one. */
final class Task {
  private final StepRun step;
  private final int index;
  private boolean done;
  private final FailedAttempts failedAttempts;
  private int lastAttempt;
  private String checkpoint = "";
  private int checkpointAttempt;
  private @Nullable Run run;

  /** Runs beside that one, or of a task that has ended: they are stopped. */
  private final Set<Run> orphans = new HashSet<>();

  private boolean located;

  /** Worker at which it may run if it lasts, as it is stored; empty if there is none. */
  private String placement = "";

  /** Worker at which it failed last; another one is tried first. */
  private @Nullable String avoidedWorker;

  /** Time on the steady clock before which it is not started. */
  private long notBefore;

  private long lastRanAt = Long.MIN_VALUE / 2;

  Task(StepRun step, int index) {
    this.step = step;
    this.index = index;
    this.failedAttempts = new FailedAttempts(step.step().longRunning());
  }

  StepRun step() {
    return step;
  }

  Job job() {
    return step.job();
  }

  int index() {
    return index;
  }

  TaskId id() {
    return new TaskId(job().id(), step.occurrence(), step.number(), index);
  }

  boolean isDone() {
    return done;
  }

  void setDone() {
    done = true;
    checkpoint = "";
  }

  int failures() {
    return failedAttempts.count();
  }

  /** Returns the attempts that count among the failures. */
  FailedAttempts failedAttempts() {
    return failedAttempts;
  }

  /** Counts a failed attempt, which must not count yet; a later one may count already. */
  void addFailure(String worker, int attempt) {
    failedAttempts.add(attempt);
    if (attempt == failedAttempts.newest()) {
      avoidedWorker = worker;
    }
  }

  @Nullable String avoidedWorker() {
    return avoidedWorker;
  }

  void avoid(String worker) {
    avoidedWorker = worker;
  }

  String checkpoint() {
    return checkpoint;
  }

  /** Returns the number of the attempt that the checkpoint stems from; 0 if it is not known. */
  int checkpointAttempt() {
    return checkpointAttempt;
  }

  /**
   * Keeps the checkpoint of an attempt. An empty one leaves the last, and so does one of an attempt
   * before that of the last, which is told late.
   *
   * @return whether it is kept
   */
  boolean setCheckpoint(int attempt, String newest) {
    if (newest.isEmpty() || attempt < checkpointAttempt) {
      return false;
    }
    checkpoint = newest;
    checkpointAttempt = attempt;
    return true;
  }

  @Nullable Run run() {
    return run;
  }

  void setRun(@Nullable Run newRun) {
    run = newRun;
    if (newRun != null) {
      lastAttempt = Math.max(lastAttempt, newRun.attempt());
    }
  }

  /** Takes note of a run that must not go on; it is not started before this one is gone. */
  void addOrphan(Run orphan) {
    orphans.add(orphan);
    recordAttempt(orphan.attempt());
  }

  /** Returns one of the runs beside its own; null if there is none. */
  @Nullable Run orphan() {
    return orphans.stream().findFirst().orElse(null);
  }

  void removeOrphan(Run run) {
    orphans.remove(run);
  }

  /** Tells whether it was found at a worker, so that it was nowhere else. */
  boolean isLocated() {
    return located;
  }

  void setLocated() {
    located = true;
  }

  /** Returns the worker at which it may run if it lasts; empty if there is none. */
  String placement() {
    return placement;
  }

  void setPlacement(String worker) {
    placement = worker;
  }

  /** Tells whether neither a run of it is known nor one beside it that is being stopped. */
  boolean hasNoRuns() {
    return run == null && orphans.isEmpty();
  }

  /** Tells whether it was started before, as far as is known or possible. */
  boolean mayHaveStarted() {
    return lastAttempt > 0 || (job().isInherited() && job().state() != JobState.QUEUED);
  }

  /** Notes an attempt that another holder made. */
  void recordAttempt(int attempt) {
    lastAttempt = Math.max(lastAttempt, attempt);
  }

  /**
   * Returns the number of the next attempt.
   *
   * @param minimum least number that this holder may use
   */
  int nextAttempt(int minimum) {
    return Math.max(lastAttempt + 1, minimum);
  }

  /** Returns the last time on the steady clock at which it ran, as far as is known. */
  long lastRanAt() {
    return lastRanAt;
  }

  void setLastRanAt(long monotonicMillis) {
    lastRanAt = Math.max(lastRanAt, monotonicMillis);
  }

  void setNotBefore(long monotonicMillis) {
    notBefore = monotonicMillis;
  }

  /** Returns the time on the steady clock before which it is not started. */
  long notBefore() {
    return notBefore;
  }

  boolean isReady(long nowMillis) {
    return !done && hasNoRuns() && nowMillis >= notBefore;
  }

  /** Tells whether more than whether it is done must be stored. */
  boolean needsStoring() {
    return !done && (failures() > 0 || !checkpoint.isEmpty() || !placement.isEmpty());
  }
}
