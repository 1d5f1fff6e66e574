package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.hemlockpick.cell.rows.ProgressRows;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.StepProgress;
import org.hemlockpick.proto.TaskNote;

/** A job of the cell with its state and progress. */
final class Job {
  private long hadRunAt = Long.MIN_VALUE / 2;
  private final Submission submission;
  private final long rowVersion;
  private final boolean inherited;
  private final ProgressRows rows;
  private final List<StepRun> stepRuns = new ArrayList<>();
  private int openedOccurrences;
  private JobState state = JobState.QUEUED;
  private boolean canceled;
  private long endedAtMillis;

  /** Time on the monotonic clock at which this holder first saw it as ended. */
  private long endSeenAt = Long.MAX_VALUE;

  /**
   * Creates a job without progress.
   *
   * @param rowVersion version of the row of its submission
   * @param inherited whether a previous holder may have started tasks of it
   */
  Job(Submission submission, long rowVersion, boolean inherited) {
    this.submission = submission;
    this.rowVersion = rowVersion;
    this.inherited = inherited;
    this.rows = new ProgressRows(submission);
  }

  String id() {
    return submission.id();
  }

  Submission submission() {
    return submission;
  }

  long rowVersion() {
    return rowVersion;
  }

  boolean isInherited() {
    return inherited;
  }

  /** Returns the rows in which its progress is stored. */
  ProgressRows rows() {
    return rows;
  }

  JobState state() {
    return state;
  }

  void setState(JobState newState) {
    state = newState;
  }

  /** Ends the job with its final state. */
  void end(JobState last, long wallMillis) {
    state = last;
    endedAtMillis = wallMillis;
  }

  long endedAtMillis() {
    return endedAtMillis;
  }

  /** Records a time on the monotonic clock at which it has ended; the earliest one is kept. */
  void recordEndSeen(long nowMillis) {
    endSeenAt = Math.min(endSeenAt, nowMillis);
  }

  /**
   * Returns the time on the monotonic clock at which this holder first saw it as ended; {@link
   * Long#MAX_VALUE} if it has not.
   */
  long endSeenAt() {
    return endSeenAt;
  }

  /** Returns whether the caller has canceled it; runs may still have to be stopped. */
  boolean isCanceled() {
    return canceled;
  }

  void cancel() {
    canceled = true;
  }

  /** Returns the steps of all occurrences that were opened, in order. */
  List<StepRun> stepRuns() {
    return stepRuns;
  }

  /** Opens the occurrences that are due, by creating their steps. */
  void openDueOccurrences(long wallMillis) {
    while (openedOccurrences < submission.occurrences()
        && (!submission.isTimed() || wallMillis >= submission.dueAtMillis(openedOccurrences))) {
      openOccurrence(openedOccurrences);
    }
  }

  /** Returns whether a step may start, as all steps that it depends on are done. */
  boolean areDependenciesDone(StepRun step) {
    int first = step.occurrence() * submission.steps().size();
    for (int dependency : step.step().dependsOn()) {
      if (!stepRuns.get(first + dependency).isDone()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether all tasks of all occurrences are done. */
  boolean isDone() {
    return openedOccurrences == submission.occurrences()
        && stepRuns.stream().allMatch(StepRun::isDone);
  }

  /**
   * Returns a task that a worker has reported. Opens its occurrence if necessary, as it was due for
   * the holder that started the task.
   */
  Optional<Task> task(TaskId id) {
    int steps = submission.steps().size();
    if (id.occurrence() >= submission.occurrences() || id.step() >= steps) {
      return Optional.empty();
    }
    while (openedOccurrences <= id.occurrence()) {
      openOccurrence(openedOccurrences);
    }
    List<Task> tasks = stepRuns.get(id.occurrence() * steps + id.step()).tasks();
    return id.index() < tasks.size() ? Optional.of(tasks.get(id.index())) : Optional.empty();
  }

  /** Restores the progress that the previous holder stored. */
  void restore(ProgressRecord record) {
    state = JobRows.state(record.getState());
    endedAtMillis = record.getEndedAtMillis();
    if (state.isFinal()) {
      return;
    }
    for (StepProgress progress : record.getStepsList()) {
      restore(progress);
    }
  }

  private void restore(StepProgress progress) {
    int steps = submission.steps().size();
    if (progress.getOccurrence() >= submission.occurrences() || progress.getStep() >= steps) {
      return;
    }
    while (openedOccurrences <= progress.getOccurrence()) {
      openOccurrence(openedOccurrences);
    }
    StepRun run = stepRuns.get(progress.getOccurrence() * steps + progress.getStep());
    BitSet done = BitSet.valueOf(progress.getDone().toByteArray());
    done.stream()
        .filter(index -> index < run.tasks().size())
        .forEach(index -> run.complete(run.tasks().get(index)));
    CrashNotes.restoreDoubted(BitSet.valueOf(progress.getDoubted().toByteArray()), run);
    for (TaskNote note : progress.getNotesList()) {
      if (note.getIndex() < run.tasks().size()) {
        Task task = run.tasks().get(note.getIndex());
        task.failedAttempts()
            .restore(
                note.getFailures(), note.getFailedAttempt(), note.getOlderFailedAttemptsList());
        task.setCheckpoint(note.getCheckpointAttempt(), note.getCheckpoint());
        task.setPlacement(note.getPlace());
        CrashNotes.restore(note, task.crashes());
        task.crashes().all().forEach(crash -> task.avoid(crash.worker()));
      }
    }
  }

  private void openOccurrence(int occurrence) {
    List<Step> steps = submission.steps();
    for (int i = 0; i < steps.size(); i++) {
      stepRuns.add(new StepRun(this, occurrence, i, steps.get(i)));
    }
    openedOccurrences = occurrence + 1;
  }

  /** Returns the number of watched starts of its tasks whose ends are not known. */
  int watchedStarts() {
    int starts = 0;
    for (StepRun step : stepRuns) {
      for (Task task : step.tasks()) {
        starts += task.crashes().starts().size();
      }
    }
    return starts;
  }

  /** Returns whether a task has a run. */
  boolean hasRuns() {
    return stepRuns.stream().anyMatch(StepRun::hasRuns);
  }

  /** Records that a task has a run now. */
  void setHasRun(long nowMillis) {
    hadRunAt = nowMillis;
  }

  /** Returns the newest time on the monotonic clock at which a task was seen to have a run. */
  long hadRunAt() {
    return hadRunAt;
  }
}
