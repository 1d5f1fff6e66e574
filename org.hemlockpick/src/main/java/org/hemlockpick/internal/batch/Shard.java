package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.TaskRecord;
import org.jspecify.annotations.Nullable;

/** A block of tasks of one job that share a row. */
final class Shard {
  final String key;
  final String job;
  final int number;

  /** Newest known version of the row. */
  long version;

  String holder;
  long holderIncarnation;
  List<Task> tasks = new ArrayList<>();

  /** Whether the next commit makes this entry instance the holder. */
  boolean claimed;

  /** The holder that the next commit sets; null when the shard is not handed over. */
  @Nullable ShardHolder handedTo;

  /** The job in which the tasks are indexed; null until the job is loaded. */
  @Nullable Job indexedUnder;

  /** Send time of the last read or commit that proved the known version to be the newest. */
  long knownAt;

  /** Time at which the shard was last used without being held, in milliseconds. */
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
