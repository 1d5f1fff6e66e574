package org.hemlockpick.standin;

import org.hemlockpick.proto.TaskRef;
import org.jspecify.annotations.Nullable;

/** A running task of a worker. It makes progress once its plan is known. */
final class RunningTask {
  private final TaskRef task;
  private @Nullable TaskPlan plan;
  private double progressMillis;
  private long checkpointedMillis;

  RunningTask(TaskRef task, String checkpoint) {
    this.task = task;
    this.checkpointedMillis = CheckpointKeys.progressMillis(checkpoint);
    this.progressMillis = checkpointedMillis;
  }

  TaskRef task() {
    return task;
  }

  void setPlan(TaskPlan newPlan) {
    plan = newPlan;
  }

  /** Advances the progress for an elapsed time, at a percentage of full speed. */
  void advance(long millis, int percent) {
    if (plan != null) {
      progressMillis += millis * percent / 100.0;
    }
  }

  boolean isDone() {
    return plan != null && progressMillis >= plan.runMillis();
  }

  boolean fails() {
    return plan != null && plan.fails();
  }

  /** Returns whether a checkpoint is due. */
  boolean isCheckpointDue(long intervalMillis) {
    return progressMillis - checkpointedMillis >= intervalMillis;
  }

  /** Records a checkpoint of the current progress and returns its key. */
  String checkpoint() {
    checkpointedMillis = (long) progressMillis;
    return CheckpointKeys.key(task, checkpointedMillis);
  }
}
