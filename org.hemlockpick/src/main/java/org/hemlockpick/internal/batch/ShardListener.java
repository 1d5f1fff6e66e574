package org.hemlockpick.internal.batch;

/** Follows what becomes known of the rows of shards. */
interface ShardListener {

  /** The shard was loaded, or its row changed, or its job became known or changed. */
  default void changed(Shard shard) {}

  /**
   * The row of a shard belongs to no job.
   *
   * @param jobAbsent true when the job has no row, false when the job has fewer shards
   */
  default void withoutJob(Shard shard, boolean jobAbsent) {}

  /** No shard with this key has a row: all its attempts are over. */
  default void absent(String key) {}
}
