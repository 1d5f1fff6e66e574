package org.hemlockpick.internal.batch;

import com.google.protobuf.ByteString;
import org.hemlockpick.proto.TaskRecord;
import org.hemlockpick.proto.TaskState;

/** Derives the next record of a task from its current record. */
final class TaskTransitions {
  /** Number of different workers on which a task fails before it is parked. */
  static final int MAX_FAILED_WORKERS = 3;

  /** Number of failures after which a task is parked. */
  static final int MAX_FAILURES = 6;

  private TaskTransitions() {}

  static TaskRecord queued(int index) {
    return TaskRecord.newBuilder().setIndex(index).setState(TaskState.QUEUED).setAttempt(1).build();
  }

  static TaskRecord assigned(TaskRecord task, String worker, String boot) {
    return task.toBuilder().setState(TaskState.ASSIGNED).setWorker(worker).setBoot(boot).build();
  }

  static TaskRecord done(TaskRecord task, ByteString result) {
    return task.toBuilder().setState(TaskState.DONE).setResult(result).build();
  }

  static TaskRecord cancelled(TaskRecord task) {
    return task.toBuilder().setState(TaskState.CANCELLED).build();
  }

  static TaskRecord stopped(TaskRecord task, String checkpoint) {
    return requeued(withCheckpoint(task, checkpoint)).toBuilder()
        .setEvictions(task.getEvictions() + 1)
        .build();
  }

  /** The worker's boot has ended: the next attempt starts from the last known checkpoint. */
  static TaskRecord lost(TaskRecord task) {
    return requeued(task);
  }

  static TaskRecord failed(TaskRecord task, String checkpoint) {
    TaskRecord.Builder failed =
        withCheckpoint(task, checkpoint).toBuilder().setFailures(task.getFailures() + 1);
    if (!task.getFailedOnList().contains(task.getWorker())) {
      failed.addFailedOn(task.getWorker());
    }
    boolean parked =
        failed.getFailedOnCount() >= MAX_FAILED_WORKERS || failed.getFailures() >= MAX_FAILURES;
    if (parked) {
      return failed.setState(TaskState.PARKED).setReason(Messages.parked(failed)).build();
    }
    return requeued(failed.build());
  }

  static TaskRecord withCheckpoint(TaskRecord task, String checkpoint) {
    return checkpoint.isEmpty() ? task : task.toBuilder().setCheckpoint(checkpoint).build();
  }

  static boolean isOver(TaskRecord task) {
    return switch (task.getState()) {
      case DONE, PARKED, CANCELLED -> true;
      default -> false;
    };
  }

  private static TaskRecord requeued(TaskRecord task) {
    return task.toBuilder()
        .setState(TaskState.QUEUED)
        .setAttempt(task.getAttempt() + 1)
        .clearWorker()
        .clearBoot()
        .build();
  }
}
