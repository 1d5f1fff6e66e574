package org.hemlockpick.cell;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Keeps since when each task does not run though the steps it depends on are done. A look at the
 * tasks that comes too soon after the last one is left out; so a wait is found a little late.
 */
final class TaskWaits {
  private static final long SCAN_INTERVAL_MILLIS = 200;

  private static final long NEVER = Long.MAX_VALUE;

  private final JobTable jobs;
  private Map<Task, Wait> waits = new LinkedHashMap<>();
  private long nextScanAt;

  TaskWaits(JobTable jobs) {
    this.jobs = jobs;
  }

  /**
   * Wait of a task, on the monotonic clock.
   *
   * @param since first look that found that it does not run
   * @param readySince first look after that which found it ready; {@link #NEVER} if none has. A
   *     start that was refused, so that it did not run, does not end the wait.
   */
  record Wait(long since, long readySince) {
    /** Returns for how long it could have been started, or else for how long it does not run. */
    long millis(long now) {
      return now - (readySince == NEVER ? since : readySince);
    }
  }

  /** Looks at all tasks if it is time to. */
  void run(long now) {
    if (now < nextScanAt) {
      return;
    }
    nextScanAt = now + SCAN_INTERVAL_MILLIS;
    Map<Task, Wait> found = new LinkedHashMap<>(2 * waits.size());
    for (Job job : jobs.open()) {
      for (StepRun step : job.stepRuns()) {
        if (!step.isDone() && job.areDependenciesDone(step)) {
          addWaiting(step, now, found);
        }
      }
    }
    waits = found;
  }

  private void addWaiting(StepRun step, long now, Map<Task, Wait> found) {
    for (Task task : step.tasks()) {
      if (!task.isDone() && !WaitCauses.isRunning(task)) {
        found.put(task, newest(task, waits.get(task), now));
      }
    }
  }

  private static Wait newest(Task task, @Nullable Wait known, long now) {
    Wait wait = known;
    if (wait == null || task.lastRanAt() > wait.since()) {
      wait = new Wait(now, NEVER);
    }
    boolean isFirstReady = wait.readySince() == NEVER && task.isReady(now);
    return isFirstReady ? new Wait(wait.since(), now) : wait;
  }

  /** Returns the tasks that did not run at the last look. */
  Map<Task, Wait> all() {
    return waits;
  }
}
