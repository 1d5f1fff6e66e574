package org.hemlockpick.cell;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Ready tasks of one step for which the same workers are open, so that none finds room if one does
 * not; or all tasks of a gang.
 *
 * @param tasks tasks, in the order in which they get room
 * @param rank rank among all ready tasks
 */
record ReadyTasks(
    StepRun step, Kind kind, List<Task> tasks, Queue queue, PriorityPolicy.Rank rank) {

  /** What distinguishes tasks of one step in where they may run. */
  record Kind(boolean isRestart, boolean hasFailed) {
    static Kind of(Task task) {
      return new Kind(isRestart(task), task.failures() > 0);
    }

    /** Tells whether a task lasts and has lost its run. */
    private static boolean isRestart(Task task) {
      return task.step().step().longRunning() && task.mayHaveStarted();
    }
  }

  /**
   * What tasks have in common of which none finds room if one does not.
   *
   * @param image image of fillers, which harm serving tasks by their image; null for other tasks
   * @param label label that a worker must have; null if any will do
   * @param spreadStep step whose tasks must be apart from each other; null if they need not
   * @param gangSize number of tasks that need room at once, from 1; a gang that does not fit tells
   *     nothing of fewer tasks
   */
  record Shape(
      String service,
      Kind kind,
      ResourceAmounts demand,
      boolean longRunning,
      @Nullable String image,
      @Nullable String label,
      @Nullable StepRun spreadStep,
      int gangSize) {

    /** Returns the shape of a single task. */
    Shape single() {
      return new Shape(service, kind, demand, longRunning, image, label, spreadStep, 1);
    }
  }

  Shape shape() {
    Step plan = step.step();
    return new Shape(
        queue.service(),
        kind,
        plan.demand(),
        plan.longRunning(),
        plan.filler() ? plan.image() : null,
        plan.requiredLabel(),
        plan.maxPerWorker() > 0 ? step : null,
        isGang() ? tasks.size() : 1);
  }

  boolean isGang() {
    return step.step().gang();
  }
}
