package org.hemlockpick.internal.batch;

import org.hemlockpick.proto.TaskRecord;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskState;

/** A task: the record in its row and the record that the next commit writes. */
final class Task {
  final Shard shard;

  /** The record in the row as last known. */
  TaskRecord committed;

  /** The record to be written; equals {@link #committed} unless a change is pending. */
  TaskRecord wanted;

  /** Whether the task occupies a unit of the customer. */
  boolean occupiesUnit;

  /** Whether the worker confirmed that it has the current attempt. */
  boolean confirmed;

  /** Number of reports of the worker received before the assignment became known here. */
  long reportsAtAssignment;

  int refusals;
  long nextStartAt;

  Task(Shard shard, TaskRecord record) {
    this.shard = shard;
    committed = record;
    wanted = record;
  }

  TaskRef ref() {
    return ref(wanted.getAttempt());
  }

  TaskRef ref(int attempt) {
    return TaskRef.newBuilder()
        .setJob(shard.job)
        .setIndex(wanted.getIndex())
        .setAttempt(attempt)
        .build();
  }

  TaskState state() {
    return wanted.getState();
  }

  /** Returns whether the row assigns the task and no change of that assignment is pending. */
  boolean isPlaced() {
    return committed.getState() == TaskState.ASSIGNED
        && wanted.getState() == TaskState.ASSIGNED
        && committed.getAttempt() == wanted.getAttempt();
  }
}
