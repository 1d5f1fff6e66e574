package org.hemlockpick.cell;

/**
 * Limits how many tasks of a long-running step are made unavailable at a time. A task is available
 * while it is at work; one that is unavailable for any other cause counts as well.
 */
final class DisruptionBudget {
  /** Progress that a worker reports for a long-running task at work, in percent. */
  private static final int AT_WORK_PERCENT = 100;

  private DisruptionBudget() {}

  /** Returns whether a run may be stopped, as enough other tasks of its step are at work. */
  static boolean allowsStop(Run run) {
    Integer limit = run.step().maxUnavailable();
    return limit == null || !isAtWork(run) || countUnavailable(run.task()) < limit;
  }

  /** Returns how many other tasks of the step of a task are unavailable. */
  private static int countUnavailable(Task task) {
    int count = 0;
    for (Task other : task.step().tasks()) {
      Run run = other.run();
      boolean isAvailable = run != null && isAtWork(run);
      count += other == task || isAvailable ? 0 : 1;
    }
    return count;
  }

  private static boolean isAtWork(Run run) {
    return run.state() == Run.State.RUNNING && run.progressPercent() >= AT_WORK_PERCENT;
  }
}
