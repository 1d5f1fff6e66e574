package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.RowName;

/**
 * Removes jobs that ended long ago, with their rows: first the rows written by callers, then the
 * progress. The time is measured on the monotonic clock from when this holder first saw the job as
 * ended, as wall clocks may be set and differ between holders.
 */
final class JobSweeper {
  private static final long SWEEP_INTERVAL_MILLIS = 5_000;

  /** Maximum number of jobs in one transaction, each with two rows. */
  private static final int MAX_JOBS_PER_TRANSACTION = 45;

  private final CellSettings settings;
  private final TableService store;
  private final JobTable jobs;
  private final CellJournal journal;
  private final LoopClock clock;
  private int inFlight;
  private long nextSweepAt;

  JobSweeper(
      CellSettings settings,
      TableService store,
      JobTable jobs,
      CellJournal journal,
      LoopClock clock) {
    this.settings = settings;
    this.store = store;
    this.jobs = jobs;
    this.journal = journal;
    this.clock = clock;
  }

  void run(long now) {
    if (inFlight > 0 || now < nextSweepAt) {
      return;
    }
    nextSweepAt = now + SWEEP_INTERVAL_MILLIS;
    expiredJobs().forEach(this::remove);
  }

  /** Returns the jobs to be removed, grouped by the part that they are in. */
  private Map<String, List<Job>> expiredJobs() {
    long now = clock.monotonicMillis();
    Map<String, List<Job>> expired = new HashMap<>();
    for (Job job : jobs.all()) {
      if (!job.state().isFinal()) {
        continue;
      }
      job.recordEndSeen(now);
      if (now - job.endSeenAt() > settings.statusKeepMillis()) {
        List<Job> part =
            expired.computeIfAbsent(
                JobRows.part(settings.cell(), job.id()), key -> new ArrayList<>());
        if (part.size() < MAX_JOBS_PER_TRANSACTION) {
          part.add(job);
        }
      }
    }
    return expired;
  }

  private void remove(String part, List<Job> expired) {
    List<RowName> rows = new ArrayList<>();
    for (Job job : expired) {
      rows.add(JobRows.submission(job.id()));
      rows.add(JobRows.cancellation(job.id()));
    }
    inFlight++;
    store.transact(
        new Transaction(part, List.of(), List.of(), rows),
        CellTiming.STORE_TIMEOUT_MILLIS,
        result -> onRemoved(expired, result));
  }

  /**
   * Forgets the jobs if their rows were removed. Otherwise the next sweep retries, also after an
   * unknown outcome.
   */
  private void onRemoved(List<Job> expired, TransactionResult result) {
    inFlight--;
    if (result.outcome() != Outcome.COMMITTED) {
      return;
    }
    for (Job job : expired) {
      journal.remove(job.id());
      jobs.remove(job);
    }
  }
}
