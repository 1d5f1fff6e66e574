package org.hemlockpick.cell;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Ready tasks of one step that have the same eligible workers, so that if one does not fit, none
 * does; or all tasks of a gang.
 *
 * @param tasks tasks, in the order in which they are placed
 * @param rank rank among all ready tasks
 */
record ReadyTasks(
    StepRun step, Kind kind, List<Task> tasks, Queue queue, PriorityPolicy.Rank rank) {

  /** Distinguishes tasks of one step by where they may run. */
  record Kind(boolean isRestart, boolean hasFailed, boolean isSuspect) {
    static Kind of(Task task) {
      return new Kind(isRestart(task), task.failures() > 0, task.crashes().isSuspect());
    }

    /** Returns the kind of a gang, which is a suspect with any of its members. */
    static Kind ofGang(List<Task> members) {
      Kind first = of(members.get(0));
      boolean isSuspect = members.stream().anyMatch(task -> task.crashes().isSuspect());
      return new Kind(first.isRestart(), first.hasFailed(), isSuspect);
    }

    /** Returns whether a task is long-running and has lost its run. */
    private static boolean isRestart(Task task) {
      return task.step().step().longRunning() && task.mayHaveStarted();
    }
  }

  /**
   * The properties shared by tasks of which none fits if one does not.
   *
   * @param image image of fillers, whose harm to serving tasks depends on it; null for other tasks
   * @param label label that a worker must have; null if any will do
   * @param spreadStep step whose tasks must be spread over workers; null if they need not
   * @param gangSize number of tasks that must be placed together, from 1; that a gang does not fit
   *     says nothing about fewer tasks
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

    /** Returns the shape of a task of a step. */
    static Shape of(Task task, Queue queue) {
      return of(task.step(), Kind.of(task), queue);
    }

    private static Shape of(StepRun step, Kind kind, Queue queue) {
      Step plan = step.step();
      return new Shape(
          queue.service(),
          kind,
          plan.demand(),
          plan.longRunning(),
          plan.filler() ? plan.image() : null,
          plan.requiredLabel(),
          plan.maxPerWorker() > 0 ? step : null,
          plan.gang() ? step.tasks().size() : 1);
    }

    /** Returns the shape of a single task. */
    Shape single() {
      return new Shape(service, kind, demand, longRunning, image, label, spreadStep, 1);
    }
  }

  Shape shape() {
    return Shape.of(step, kind, queue);
  }

  boolean isGang() {
    return step.step().gang();
  }
}
