package org.hemlockpick.internal.batch;

/** Receives changes of the rows of shards. */
interface ShardListener {

  /** Called when the shard was loaded, its row changed, or its job was loaded or changed. */
  default void changed(Shard shard) {}

  /**
   * Called when the row of a shard belongs to no job.
   *
   * @param jobAbsent true when the job has no row, false when the job has fewer shards
   */
  default void withoutJob(Shard shard, boolean jobAbsent) {}

  /** Called when no shard with this key has a row: all its attempts have ended. */
  default void absent(String key) {}
}
