package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.RowName;

/**
 * Removes jobs that ended long ago, with their rows: first what callers wrote, then the progress.
 * The time counts on the steady clock from when this holder first saw the job as ended: times of
 * day may be set, and differ between holders.
 */
final class JobSweeper {
  private static final long PAUSE_MILLIS = 5_000;

  /** Most jobs of one transaction, each with two rows. */
  private static final int MAX_JOBS = 45;

  private final CellSettings settings;
  private final TableService store;
  private final JobTable jobs;
  private final CellJournal journal;
  private final LoopClock clock;
  private int underWay;
  private long nextAt;

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
    if (underWay > 0 || now < nextAt) {
      return;
    }
    nextAt = now + PAUSE_MILLIS;
    old().forEach(this::remove);
  }

  /** Returns the jobs to be removed by the parts that they are in. */
  private Map<String, List<Job>> old() {
    long now = clock.monotonicMillis();
    Map<String, List<Job>> old = new HashMap<>();
    for (Job job : jobs.all()) {
      if (!job.state().isFinal()) {
        continue;
      }
      job.recordEndSeen(now);
      if (now - job.endSeenAt() > settings.statusKeepMillis()) {
        List<Job> part =
            old.computeIfAbsent(JobRows.part(settings.cell(), job.id()), key -> new ArrayList<>());
        if (part.size() < MAX_JOBS) {
          part.add(job);
        }
      }
    }
    return old;
  }

  private void remove(String part, List<Job> old) {
    List<RowName> rows = new ArrayList<>();
    for (Job job : old) {
      rows.add(JobRows.submission(job.id()));
      rows.add(JobRows.cancellation(job.id()));
    }
    underWay++;
    store.transact(
        new Transaction(part, List.of(), List.of(), rows),
        CellTiming.STORE_TIMEOUT_MILLIS,
        result -> onRemoved(old, result));
  }

  /** What was perhaps not removed is removed again. */
  private void onRemoved(List<Job> old, TransactionResult result) {
    underWay--;
    if (result.outcome() != Outcome.COMMITTED) {
      return;
    }
    for (Job job : old) {
      journal.remove(job.id());
      jobs.remove(job);
    }
  }
}
