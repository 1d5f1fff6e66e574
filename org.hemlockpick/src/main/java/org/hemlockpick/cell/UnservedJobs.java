package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Fails open jobs for which nothing says any more which workers could run them, so that they do not
 * wait for good. The configuration may lag behind that of the entry instance that accepted a job,
 * and a queue may return: such a job waits for a while first.
 */
final class UnservedJobs {
  /**
   * Time for which a job waits without a queue or service before it fails, in milliseconds: many
   * times what a change of the configuration takes to arrive.
   */
  static final long MAX_WAIT_MILLIS = 30_000;

  private static final long CHECK_INTERVAL_MILLIS = 500;

  private final JobTable jobs;
  private final WorkerTable workers;
  private final QueueResolver queues;
  private final JobLifecycle lifecycle;

  /** Times on the monotonic clock since which jobs cannot be served, by job. */
  private Map<Job, Long> unservedSince = new HashMap<>();

  private long nextCheckAt;

  UnservedJobs(JobTable jobs, WorkerTable workers, QueueResolver queues, JobLifecycle lifecycle) {
    this.jobs = jobs;
    this.workers = workers;
    this.queues = queues;
    this.lifecycle = lifecycle;
  }

  /** Fails the jobs that have waited for too long. */
  void run(long now) {
    if (now < nextCheckAt) {
      return;
    }
    nextCheckAt = now + CHECK_INTERVAL_MILLIS;
    Map<Job, Long> unserved = new HashMap<>();
    for (Job job : List.copyOf(jobs.open())) {
      String reason = queues.unservedReason(job, workers);
      if (reason == null || job.hasRuns()) {
        continue;
      }
      long since = unservedSince.getOrDefault(job, now);
      if (now - since >= MAX_WAIT_MILLIS) {
        lifecycle.fail(job, reason);
      } else {
        unserved.put(job, since);
      }
    }
    unservedSince = unserved;
  }
}
