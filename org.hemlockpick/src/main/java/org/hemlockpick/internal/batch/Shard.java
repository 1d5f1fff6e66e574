package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.TaskRecord;
import org.jspecify.annotations.Nullable;

/** Holds a block of tasks of one job that shares a row. */
final class Shard {
  final String key;
  final String job;
  final int number;

  /** Version of the row as far as is known. */
  long version;

  String holder;
  long holderIncarnation;
  List<Task> tasks = new ArrayList<>();

  /** Whether this entry instance is to become the holder with the next commit. */
  boolean claimed;

  /** Who is to become the holder with the next commit; null when the shard stays. */
  @Nullable ShardHolder handedTo;

  /** The job, once it is known and the tasks are indexed under it; only of held shards. */
  @Nullable Job indexedUnder;

  /** Time at which a read or a commit was sent that proved the known version to be the newest. */
  long knownAt;

  /** Time at which the shard was last needed although it is not held, in milliseconds. */
  long neededAt;

  Shard(String key, ShardRecord record, long version, long now) {
    this.key = key;
    job = record.getJob();
    number = record.getShard();
    holder = record.getHolder();
    holderIncarnation = record.getHolderIncarnation();
    this.version = version;
    neededAt = now;
    record.getTasksList().forEach(task -> tasks.add(new Task(this, task)));
  }

  boolean isHeldBy(String name, long incarnation) {
    return holder.equals(name) && holderIncarnation == incarnation;
  }

  boolean isChanged() {
    return claimed
        || handedTo != null
        || tasks.stream().anyMatch(task -> !task.wanted.equals(task.committed));
  }

  boolean isFinished() {
    return tasks.stream().allMatch(task -> TaskTransitions.isOver(task.wanted));
  }

  Task task(int index) {
    return tasks.get(index % BatchRows.SHARD_TASKS);
  }

  boolean has(int index) {
    return index / BatchRows.SHARD_TASKS == number && index % BatchRows.SHARD_TASKS < tasks.size();
  }

  ShardRecord wanted(String holder, long incarnation, String writeId) {
    List<TaskRecord> records = tasks.stream().map(task -> task.wanted).toList();
    return ShardRecord.newBuilder()
        .setJob(job)
        .setShard(number)
        .setHolder(holder)
        .setHolderIncarnation(incarnation)
        .addAllTasks(records)
        .setWriteId(writeId)
        .build();
  }
}
