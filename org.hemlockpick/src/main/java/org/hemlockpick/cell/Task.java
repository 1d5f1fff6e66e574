package org.hemlockpick.cell;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Holds what is known of a task of a job, and its run if it has one. */
final class Task {
  /**
   * Time after which what is only believed of a worker or a task keeps it from no worker, in
   * milliseconds; a task that can run must start within 3 s.
   */
  private static final long MAX_CAUTION_MILLIS = 2_000;

  private static final long NOT_READY = Long.MAX_VALUE;

  private final StepRun step;
  private final int index;
  private boolean done;
  private final FailedAttempts failedAttempts;
  private final TaskCrashes crashes = new TaskCrashes();
  private int lastAttempt;
  private String checkpoint = "";
  private int checkpointAttempt;
  private @Nullable Run run;

  /** Second run that may go on besides that one; only of a task that may have copies. */
  private @Nullable Run copy;

  private long lastCopyAt = Long.MIN_VALUE / 2;

  /** Runs besides those, or of a task that has ended; they are stopped. */
  private final Set<Run> orphans = new HashSet<>();

  private boolean located;

  /** Worker where it may run if it is long-running, as stored; empty if there is none. */
  private String placement = "";

  /** Worker where it last failed or made no progress; others are tried first. */
  private @Nullable String avoidedWorker;

  /** Time on the monotonic clock before which it is not started. */
  private long notBefore;

  private long lastRanAt = Long.MIN_VALUE / 2;

  /** Time on the monotonic clock at which it was first ready since its last run. */
  private long readySince = NOT_READY;

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
    crashes.clear();
  }

  int failures() {
    return failedAttempts.count();
  }

  /** Returns the attempts that count as failures. */
  FailedAttempts failedAttempts() {
    return failedAttempts;
  }

  /** Returns the crashes of workers that it may have caused. */
  TaskCrashes crashes() {
    return crashes;
  }

  /** Counts a failed attempt, which must not be counted yet; a later one may already be. */
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

  /** Returns the number of the attempt that saved the checkpoint; 0 if it is not known. */
  int checkpointAttempt() {
    return checkpointAttempt;
  }

  /**
   * Keeps the checkpoint of an attempt. The last checkpoint stays if the new one is empty, or is a
   * late report of an earlier attempt.
   *
   * @return whether the new checkpoint is kept
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
    if (run != null && run.state() != Run.State.STARTING) {
      readySince = NOT_READY;
    }
    run = newRun;
    if (newRun != null) {
      lastAttempt = Math.max(lastAttempt, newRun.attempt());
    }
  }

  /** Returns whether a second run of it may go on besides the first. */
  boolean mayHaveCopy() {
    return step.mayHaveCopies();
  }

  /** Returns the second run that may go on besides the first; null if there is none. */
  @Nullable Run copy() {
    return copy;
  }

  /** Returns the time on the monotonic clock at which it last got a copy. */
  long lastCopyAt() {
    return lastCopyAt;
  }

  /** Adds a run: the first one, or a copy of a task that may have one. */
  void addRun(Run newRun) {
    if (run == null) {
      setRun(newRun);
      return;
    }
    copy = newRun;
    lastCopyAt = newRun.startedAt();
    recordAttempt(newRun.attempt());
  }

  /** Removes a run that is gone; a copy takes the place of the first one. */
  void removeRun(Run gone) {
    orphans.remove(gone);
    if (run == gone) {
      setRun(copy);
      copy = null;
    } else if (copy == gone) {
      copy = null;
    }
  }

  /** Returns whether a run is one of those that may go on. */
  boolean owns(Run candidate) {
    return run == candidate || copy == candidate;
  }

  /** Returns whether a run has made at least as much progress as the others. */
  boolean isAhead(Run candidate) {
    Run other = run == candidate ? copy : run;
    return owns(candidate)
        && (other == null || candidate.progressPercent() >= other.progressPercent());
  }

  /** Records that its turn has come; a start that was refused does not end its wait. */
  void setReady(long nowMillis) {
    readySince = Math.min(readySince, nowMillis);
  }

  /** Returns for how long it has been ready without a run, in milliseconds. */
  long waitedMillis(long nowMillis) {
    return readySince == NOT_READY ? 0 : nowMillis - readySince;
  }

  /** Returns whether it has waited so long that only facts may keep it from a worker. */
  boolean hasWaited(long nowMillis) {
    return waitedMillis(nowMillis) >= MAX_CAUTION_MILLIS;
  }

  /** Adds a run that must not continue; the task is not started before this run is gone. */
  void addOrphan(Run orphan) {
    orphans.add(orphan);
    recordAttempt(orphan.attempt());
  }

  /** Returns one of the orphaned runs; null if there is none. */
  @Nullable Run orphan() {
    return orphans.stream().findFirst().orElse(null);
  }

  /** Returns whether it was found at a worker, so that it ran nowhere else. */
  boolean isLocated() {
    return located;
  }

  void setLocated() {
    located = true;
  }

  /** Returns the worker where it may run if it is long-running; empty if there is none. */
  String placement() {
    return placement;
  }

  void setPlacement(String worker) {
    placement = worker;
  }

  /** Returns whether it has neither a known run nor an orphaned one that is being stopped. */
  boolean hasNoRuns() {
    return run == null && orphans.isEmpty();
  }

  /** Returns whether it was started before, as far as is known or possible. */
  boolean mayHaveStarted() {
    return lastAttempt > 0 || (job().isInherited() && job().state() != JobState.QUEUED);
  }

  /** Records an attempt that another holder made. */
  void recordAttempt(int attempt) {
    lastAttempt = Math.max(lastAttempt, attempt);
  }

  /**
   * Returns the number of the next attempt.
   *
   * @param minimum lowest number that this holder may use
   */
  int nextAttempt(int minimum) {
    return Math.max(lastAttempt + 1, minimum);
  }

  /** Returns the last time on the monotonic clock at which it is known to have run. */
  long lastRanAt() {
    return lastRanAt;
  }

  void setLastRanAt(long monotonicMillis) {
    lastRanAt = Math.max(lastRanAt, monotonicMillis);
  }

  void setNotBefore(long monotonicMillis) {
    notBefore = monotonicMillis;
  }

  /** Returns the time on the monotonic clock before which it is not started. */
  long notBefore() {
    return notBefore;
  }

  boolean isReady(long nowMillis) {
    return !done && hasNoRuns() && nowMillis >= notBefore;
  }

  /** Returns whether more must be stored than whether it is done. */
  boolean needsStoring() {
    return needsNote() || (!done && crashes.isDoubted());
  }

  /** Returns whether more must be stored than whether it is done or in doubt. */
  boolean needsNote() {
    boolean hasAttempts = failures() > 0 || !checkpoint.isEmpty() || !placement.isEmpty();
    return !done && (hasAttempts || crashes.hasNotes());
  }
}
