package org.hemlockpick.cell;

/**
 * Identifies a task of a job.
 *
 * @param job identifier of the job
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 * @param index number of the task in the step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

  /** Returns the name of the step that the task belongs to. */
  public String stepName() {
    return job + "." + occurrence + "." + step;
  }

  @Override
  public String toString() {
    return stepName() + "." + index;
  }
}
