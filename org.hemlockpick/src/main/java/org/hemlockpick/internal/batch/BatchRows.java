package org.hemlockpick.internal.batch;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hemlockpick.proto.JobRecord;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.TaskRef;

/** Builds the keys of the rows of batch state and parses the rows. */
final class BatchRows {
  /** Maximum number of tasks of one shard. */
  static final int SHARD_TASKS = 64;

  private BatchRows() {}

  static String zonePrefix(String zone) {
    return zone + "/";
  }

  static String jobPrefix(String zone, String job) {
    return zone + "/" + job + "/";
  }

  static String shardKey(String zone, String job, int shard) {
    return jobPrefix(zone, job) + shard;
  }

  static int shardOf(int index) {
    return index / SHARD_TASKS;
  }

  static JobRecord job(Row row) {
    try {
      return JobRecord.parseFrom(row.getValue());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the row of job " + row.getKey() + " is damaged", e);
    }
  }

  static ShardRecord shard(Row row) {
    try {
      return ShardRecord.parseFrom(row.getValue());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the row of shard " + row.getKey() + " is damaged", e);
    }
  }

  /** Returns the label of an attempt for the timeline: job, index and attempt. */
  static String label(TaskRef ref) {
    return ref.getJob() + "/" + ref.getIndex() + "@" + ref.getAttempt();
  }
}
