package org.hemlockpick.cell;

/**
 * Limits how many tasks of a long-running step are made unavailable at a time. A task is available
 * while it is at work; one that is unavailable for any other cause counts as well.
 */
final class DisruptionBudget {
  /** Progress that a worker reports for a long-running task at work, in percent. */
  private static final int AT_WORK_PERCENT = 100;

  /**
   * Time after its start from which a run that is not at work does not keep others from being
   * moved, in milliseconds.
   */
  private static final long MAX_STARTUP_MILLIS = 10_000;

  private DisruptionBudget() {}

  /** Returns whether a run may be stopped, as enough other tasks of its step are at work. */
  static boolean allowsStop(Run run) {
    Integer limit = run.step().maxUnavailable();
    return limit == null || !isAtWork(run) || countUnavailable(run.task()) < limit;
  }

  /**
   * Returns whether a run may be stopped so that its task moves to another worker: one task at a
   * time if its step has no limit.
   */
  static boolean allowsMove(Run run, long now) {
    if (run.step().maxUnavailable() != null) {
      return allowsStop(run);
    }
    Task task = run.task();
    return task.step().tasks().stream().noneMatch(other -> other != task && isMoving(other, now));
  }

  /** Returns whether a task that has run is stopped, waits for a worker or starts up. */
  private static boolean isMoving(Task task, long now) {
    Run run = task.run();
    if (run == null) {
      return task.mayHaveStarted();
    }
    boolean isStartedUp = isAtWork(run) || now - run.startedAt() >= MAX_STARTUP_MILLIS;
    return run.state() != Run.State.RUNNING || !isStartedUp;
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
