package org.hemlockpick.cell.speculation;

import java.util.List;

/**
 * What a {@link CopyPolicy} sees of a step.
 *
 * @param tasks number of tasks of the step
 * @param done number of tasks that are done
 * @param copies number of tasks that have a copy
 * @param expectedMillis expected run time of one of its tasks
 * @param runs the only runs of tasks that may be copied
 */
public record StepState(int tasks, int done, int copies, long expectedMillis, List<RunState> runs) {

  /** Copies the list. */
  public StepState {
    runs = List.copyOf(runs);
  }

  boolean isHalfDone() {
    return 2 * done >= tasks;
  }
}
