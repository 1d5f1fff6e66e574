package org.hemlockpick.internal.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.hemlockpick.internal.loop.Outbox;

/**
 * Keeps new tasks from workers that fail whatever they start. Failures of a job that fails on
 * several workers and succeeds on none say nothing about a worker and are left out.
 */
final class Quarantine {
  /** Time without new tasks, in milliseconds. */
  static final long QUARANTINE_MILLIS = 300_000;

  /** Different jobs that fail in a row before a worker is quarantined. */
  static final int JOBS_IN_A_ROW = 3;

  /** Failures in a row of jobs that succeed elsewhere before a worker is quarantined. */
  static final int FAILURES_IN_A_ROW = 5;

  private static final class Streak {
    final Set<String> jobs = new HashSet<>();
    int provenFailures;
  }

  private static final class JobRuns {
    final Set<String> failedOn = new HashSet<>();
    final Set<String> succeededOn = new HashSet<>();
  }

  private final Outbox outbox;
  private final Map<String, Streak> streaks = new HashMap<>();
  private final Map<String, JobRuns> runs = new HashMap<>();
  private final Map<String, Long> until = new HashMap<>();

  Quarantine(Outbox outbox) {
    this.outbox = outbox;
  }

  boolean holds(String worker, long now) {
    return now < until.getOrDefault(worker, Long.MIN_VALUE);
  }

  void succeeded(String worker, String job) {
    streaks.remove(worker);
    runs.computeIfAbsent(job, key -> new JobRuns()).succeededOn.add(worker);
  }

  void failed(String worker, String job) {
    JobRuns record = runs.computeIfAbsent(job, key -> new JobRuns());
    record.failedOn.add(worker);
    boolean proven = record.succeededOn.stream().anyMatch(other -> !other.equals(worker));
    Streak streak = streaks.computeIfAbsent(worker, key -> new Streak());
    if (!proven && record.failedOn.size() > 1) {
      dropSuspect(job);
      return;
    }
    streak.jobs.add(job);
    if (proven) {
      streak.provenFailures++;
    }
    if (streak.jobs.size() >= JOBS_IN_A_ROW || streak.provenFailures >= FAILURES_IN_A_ROW) {
      begin(worker);
    }
  }

  /** Forgets the jobs that are not loaded any more. */
  void retainJobs(Predicate<String> loaded) {
    runs.keySet().removeIf(loaded.negate());
  }

  void forgetWorker(String worker) {
    streaks.remove(worker);
    until.remove(worker);
  }

  private void dropSuspect(String job) {
    streaks.values().forEach(streak -> streak.jobs.remove(job));
  }

  private void begin(String worker) {
    streaks.remove(worker);
    until.put(worker, outbox.now() + QUARANTINE_MILLIS);
    outbox.event("worker-quarantined", worker, "failed tasks of different jobs in a row");
  }
}
