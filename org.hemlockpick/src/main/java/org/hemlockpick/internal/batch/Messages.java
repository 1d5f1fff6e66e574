package org.hemlockpick.internal.batch;

import org.hemlockpick.proto.TaskRecordOrBuilder;

/** Message texts of batch work for callers and operators. */
final class Messages {
  static final String NO_TASKS = "task_count must be at least 1";
  static final String NO_KIND = "kind must not be empty";
  static final String NO_CPU = "cpu_millis must be at least 1";
  static final String NEGATIVE = "a number of the job is out of range";
  static final String NOT_URGENT = "the contract does not allow urgent jobs";
  static final String OTHER_SPEC = "another job was submitted under this submission key";

  private Messages() {}

  static String tooManyTasks(int limit) {
    return "the contract allows " + limit + " tasks in a job";
  }

  static String neverFits(ResourceAmounts need) {
    return "no worker has "
        + need.cpuMillis()
        + " cpu_millis, "
        + need.memoryMb()
        + " memory_mb and "
        + need.accelerators()
        + " accelerators";
  }

  static String parked(TaskRecordOrBuilder task) {
    return "failed "
        + task.getFailures()
        + " times, on workers "
        + String.join(", ", task.getFailedOnList());
  }

  static String parkedTask(TaskRecordOrBuilder task) {
    return "task " + task.getIndex() + ": " + task.getReason();
  }
}
