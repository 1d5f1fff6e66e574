package org.hemlockpick.standin;

import org.hemlockpick.proto.TaskRef;

/** Builds and parses checkpoint keys, which end with the progress of the task in milliseconds. */
final class CheckpointKeys {
  private CheckpointKeys() {}

  static String key(TaskRef task, long progressMillis) {
    return String.format(
        "checkpoints/%s/%d/%d/%d",
        task.getJob(), task.getIndex(), task.getAttempt(), progressMillis);
  }

  /** Returns the progress in a checkpoint key, in milliseconds; 0 if there is none. */
  static long progressMillis(String key) {
    try {
      return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
