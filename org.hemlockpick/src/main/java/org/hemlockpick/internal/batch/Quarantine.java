package org.hemlockpick.internal.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.hemlockpick.internal.loop.Outbox;

/**
 * Keeps new tasks away from workers on which tasks keep failing. Failures of a job that fails on
 * several workers and succeeds on no other worker do not indicate a faulty worker and do not count.
 */
final class Quarantine {
  /** Time for which a quarantined worker gets no new tasks, in milliseconds. */
  static final long QUARANTINE_MILLIS = 300_000;

  /** Number of different jobs failing in a row at which a worker is quarantined. */
  static final int MAX_CONSECUTIVE_FAILED_JOBS = 3;

  /**
   * Number of failures in a row, of jobs that succeed on other workers, at which a worker is
   * quarantined.
   */
  static final int MAX_CONSECUTIVE_FAILURES = 5;

  private static final class FailureStreak {
    final Set<String> jobs = new HashSet<>();
    int workerFailures;
  }

  private static final class JobResults {
    final Set<String> failedOn = new HashSet<>();
    final Set<String> succeededOn = new HashSet<>();
  }

  private final Outbox outbox;
  private final Map<String, FailureStreak> streaks = new HashMap<>();
  private final Map<String, JobResults> resultsByJob = new HashMap<>();
  private final Map<String, Long> quarantinedUntil = new HashMap<>();

  Quarantine(Outbox outbox) {
    this.outbox = outbox;
  }

  boolean isQuarantined(String worker, long now) {
    return now < quarantinedUntil.getOrDefault(worker, Long.MIN_VALUE);
  }

  void succeeded(String worker, String job) {
    streaks.remove(worker);
    resultsByJob.computeIfAbsent(job, key -> new JobResults()).succeededOn.add(worker);
  }

  void failed(String worker, String job) {
    JobResults results = resultsByJob.computeIfAbsent(job, key -> new JobResults());
    results.failedOn.add(worker);
    boolean succeedsElsewhere =
        results.succeededOn.stream().anyMatch(other -> !other.equals(worker));
    FailureStreak streak = streaks.computeIfAbsent(worker, key -> new FailureStreak());
    if (!succeedsElsewhere && results.failedOn.size() > 1) {
      discountJob(job);
      return;
    }
    streak.jobs.add(job);
    if (succeedsElsewhere) {
      streak.workerFailures++;
    }
    if (streak.jobs.size() >= MAX_CONSECUTIVE_FAILED_JOBS
        || streak.workerFailures >= MAX_CONSECUTIVE_FAILURES) {
      quarantine(worker);
    }
  }

  /** Removes the results of jobs that are no longer loaded. */
  void retainJobs(Predicate<String> loaded) {
    resultsByJob.keySet().removeIf(loaded.negate());
  }

  void forgetWorker(String worker) {
    streaks.remove(worker);
    quarantinedUntil.remove(worker);
  }

  private void discountJob(String job) {
    streaks.values().forEach(streak -> streak.jobs.remove(job));
  }

  private void quarantine(String worker) {
    streaks.remove(worker);
    quarantinedUntil.put(worker, outbox.now() + QUARANTINE_MILLIS);
    outbox.event("worker-quarantined", worker, "failed tasks of different jobs in a row");
  }
}
