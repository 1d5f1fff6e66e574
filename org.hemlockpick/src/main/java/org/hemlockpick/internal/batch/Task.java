package org.hemlockpick.internal.batch;

import org.hemlockpick.proto.TaskRecord;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskState;

/** Holds one task: what its row says and what the next commit will make of it. */
final class Task {
  final Shard shard;

  /** What the row says as far as is known. */
  TaskRecord committed;

  /** What the row is to say; equals {@link #committed} but for changes under way. */
  TaskRecord wanted;

  /** Whether the task occupies a unit of the customer. */
  boolean occupiesUnit;

  /** Whether the worker said that it has the present attempt. */
  boolean confirmed;

  /** Reports of the worker taken before the assignment became known here. */
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

  /** Tells whether the row assigns the task and no change to that is under way. */
  boolean isPlaced() {
    return committed.getState() == TaskState.ASSIGNED
        && wanted.getState() == TaskState.ASSIGNED
        && committed.getAttempt() == wanted.getAttempt();
  }
}
