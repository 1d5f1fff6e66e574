package org.hemlockpick.cell;

import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.Condition;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.calls.Tombstones;

/**
 * Removes jobs that ended long ago, with their rows: first the rows written by callers, then the
 * progress. Removes tombstones, too. The time is measured on the monotonic clock from when this
 * holder first saw the job as ended, or the tombstone, as wall clocks may be set and differ between
 * holders.
 */
final class JobSweeper {
  private static final long SWEEP_INTERVAL_MILLIS = 5_000;

  /** Maximum number of jobs in one transaction, each with two rows. */
  private static final int MAX_JOBS_PER_TRANSACTION = 45;

  /** Maximum number of tombstones in one transaction, each with two conditions and a removal. */
  private static final int MAX_TOMBSTONES_PER_TRANSACTION = 30;

  private static final int MAX_TOMBSTONES_PER_SWEEP = 1_000;

  private final CellSettings settings;
  private final TableService store;
  private final JobTable jobs;
  private final Tombstones tombstones;
  private final CellJournal journal;
  private final LoopClock clock;
  private int inFlight;
  private long nextSweepAt;

  JobSweeper(
      CellSettings settings,
      TableService store,
      JobTable jobs,
      Tombstones tombstones,
      CellJournal journal,
      LoopClock clock) {
    this.settings = settings;
    this.store = store;
    this.jobs = jobs;
    this.tombstones = tombstones;
    this.journal = journal;
    this.clock = clock;
  }

  void run(long now) {
    if (inFlight > 0 || now < nextSweepAt) {
      return;
    }
    nextSweepAt = now + SWEEP_INTERVAL_MILLIS;
    expiredJobs().forEach(this::remove);
    expiredTombstones().forEach(this::removeTombstones);
  }

  /**
   * Returns the jobs to be removed, grouped by the part that they are in. A job is kept for as long
   * as a tombstone, too: a late write of a repeated submission must find its row.
   */
  private Map<String, List<Job>> expiredJobs() {
    long now = clock.monotonicMillis();
    long keptMillis = Math.max(settings.statusKeepMillis(), Tombstones.KEPT_MILLIS);
    Map<String, List<Job>> expired = new HashMap<>();
    for (Job job : jobs.all()) {
      if (!job.state().isFinal()) {
        continue;
      }
      job.recordEndSeen(now);
      if (now - job.endSeenAt() > keptMillis) {
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
      journal.remove(job);
      jobs.remove(job);
    }
  }

  /** Returns the tombstones to be removed, grouped by the part that they are in. */
  private Map<String, List<Tombstones.Expired>> expiredTombstones() {
    Map<String, List<Tombstones.Expired>> expired = new HashMap<>();
    for (Tombstones.Expired each :
        tombstones.expired(clock.monotonicMillis(), MAX_TOMBSTONES_PER_SWEEP)) {
      String part = JobRows.part(settings.cell(), each.job());
      expired.computeIfAbsent(part, key -> new ArrayList<>()).add(each);
    }
    return expired;
  }

  private void removeTombstones(String part, List<Tombstones.Expired> expired) {
    for (List<Tombstones.Expired> group :
        Lists.partition(expired, MAX_TOMBSTONES_PER_TRANSACTION)) {
      List<Condition> conditions = new ArrayList<>();
      List<RowName> rows = new ArrayList<>();
      for (Tombstones.Expired each : group) {
        conditions.add(new Condition(JobRows.cancellation(each.job()), each.version()));
        conditions.add(new Condition(JobRows.submission(each.job()), 0));
        rows.add(JobRows.cancellation(each.job()));
      }
      inFlight++;
      store.transact(
          new Transaction(part, conditions, List.of(), rows),
          CellTiming.STORE_TIMEOUT_MILLIS,
          result -> onTombstonesRemoved(group, result));
    }
  }

  /** After a conflict the watch tells of the job or of the newer tombstone, before the next try. */
  private void onTombstonesRemoved(List<Tombstones.Expired> group, TransactionResult result) {
    inFlight--;
    if (result.outcome() == Outcome.COMMITTED) {
      group.forEach(tombstones::remove);
    }
  }
}
