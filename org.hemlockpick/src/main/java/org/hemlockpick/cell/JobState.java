package org.hemlockpick.cell;

/** State of a job as callers see it. */
public enum JobState {
  /** Accepted; no task has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has failed as often as the queue allows. */
  FAILED,
  /** Canceled by the caller. */
  CANCELED;

  /** Returns whether the state is final. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELED;
  }
}
