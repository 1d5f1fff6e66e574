package org.hemlockpick.internal.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockpick.proto.JobPhase;
import org.hemlockpick.proto.JobRecord;

/** Holds a job of which this entry instance holds shards. */
final class Job {
  final String id;
  JobRecord record;

  /** Time at which the row was last asked for, in milliseconds; 0 when it was not again. */
  long lastReadAt;

  /** Loaded shards by their numbers. */
  final Map<Integer, Shard> shards = new HashMap<>();

  /** Queued tasks of held shards by their indexes. */
  final TreeMap<Integer, Task> queued = new TreeMap<>();

  Job(JobRecord record) {
    id = record.getJob();
    this.record = record;
  }

  String customer() {
    return record.getCustomer();
  }

  ResourceAmounts need() {
    return ResourceAmounts.of(record.getSpec());
  }

  boolean isUrgent() {
    return record.getSpec().getUrgent();
  }

  boolean isCancelled() {
    return record.getPhase() == JobPhase.JOB_CANCELLED;
  }

  /** Returns the time left after one run of the declared length, in milliseconds. */
  long slackMillis(long now) {
    return record.getDeadlineAtMillis() - now - record.getSpec().getDeclaredRunMillis();
  }
}
