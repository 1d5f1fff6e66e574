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

  /**
   * Time of the last periodic read of the row, in milliseconds; before the first read the time of
   * the first clean-up, and 0 until then.
   */
  long lastReadAt;

  /** Loaded shards by number. */
  final Map<Integer, Shard> shards = new HashMap<>();

  /** Queued tasks of held shards by index. */
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

  /** Returns the time until the deadline minus the declared run time, in milliseconds. */
  long slackMillis(long now) {
    return record.getDeadlineAtMillis() - now - record.getSpec().getDeclaredRunMillis();
  }
}
