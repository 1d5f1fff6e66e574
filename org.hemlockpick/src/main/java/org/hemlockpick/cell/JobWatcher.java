package org.hemlockpick.cell;

import java.util.Map;
import java.util.Optional;
import org.hemlockpick.cell.JobRows.Kind;
import org.hemlockpick.cell.TableService.WatchResult;
import org.hemlockpick.cell.calls.Tombstones;
import org.hemlockpick.cell.rows.ProgressRows;
import org.hemlockpick.proto.ProgressRecord;
import org.jspecify.annotations.Nullable;

/**
 * Loads the jobs of the cell from the table service, then watches for submissions and
 * cancellations.
 */
final class JobWatcher {
  private static final long RETRY_PAUSE_MILLIS = 150;
  private static final long WATCH_WAIT_MILLIS = 1_000;
  private static final long WATCH_IDLE_TIMEOUT_MILLIS = WATCH_WAIT_MILLIS + 500;

  private final String cell;
  private final TableService store;
  private final JobTable jobs;
  private final JobLifecycle lifecycle;
  private final CellJournal journal;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Runnable onChange;

  /** Jobs whose cancellation was read, and no submission. */
  private final Tombstones tombstones = new Tombstones();

  private boolean loaded;
  private boolean inFlight;
  private long nextAt;

  /** Version up to which all rows have been applied. */
  private long version;

  JobWatcher(
      String cell,
      TableService store,
      JobTable jobs,
      JobLifecycle lifecycle,
      CellJournal journal,
      LoopClock clock,
      DecisionLog log,
      Runnable onChange) {
    this.cell = cell;
    this.store = store;
    this.jobs = jobs;
    this.lifecycle = lifecycle;
    this.journal = journal;
    this.clock = clock;
    this.log = log;
    this.onChange = onChange;
  }

  /** Returns whether every job that a previous holder may have started is known. */
  boolean isLoaded() {
    return loaded;
  }

  /** Returns the cancellations whose jobs are not stored. */
  Tombstones tombstones() {
    return tombstones;
  }

  void run(long now) {
    if (inFlight || now < nextAt) {
      return;
    }
    inFlight = true;
    if (loaded) {
      store.watch(
          JobRows.TABLE, version, WATCH_WAIT_MILLIS, WATCH_IDLE_TIMEOUT_MILLIS, this::onChanges);
    } else {
      scanAll();
    }
  }

  private void scanAll() {
    JobScan.start(cell, store, this::onScanned);
  }

  /**
   * Applies a scan. The first one brings the jobs of previous holders; a later one adds unknown
   * jobs.
   */
  private void onScanned(@Nullable JobScan scan) {
    inFlight = false;
    if (scan == null) {
      // If a later scan failed, the next watch finds the history lost again and starts another
      // scan.
      nextAt = clock.monotonicMillis() + RETRY_PAUSE_MILLIS;
      return;
    }
    // Rows up to this version were applied before; those of a job removed since are stale.
    long appliedVersion = loaded ? version : -1;
    for (StoredRow row : scan.rows()) {
      if (row.version() > appliedVersion) {
        applySafely(row, scan);
      }
    }
    version = Math.max(version, scan.version());
    if (!loaded) {
      loaded = true;
      scan.orphans().forEach(journal::remove);
      journal.setAsideJobs().onJobsLoaded();
      log.decided("cell", cell, "jobs read", jobs.open().size() + " open");
    }
  }

  private void onChanges(WatchResult result) {
    inFlight = false;
    switch (result.outcome()) {
      case CHANGES -> {
        result.rows().forEach(row -> applySafely(row, null));
        version = Math.max(version, result.version());
      }
      case HISTORY_LOST -> {
        log.decided("cell", cell, "jobs are read again", "the history is gone");
        inFlight = true;
        scanAll();
      }
      case FAILED -> nextAt = clock.monotonicMillis() + RETRY_PAUSE_MILLIS;
    }
  }

  /** Applies a row. If that fails, the rows after it must still be applied. */
  private void applySafely(StoredRow row, @Nullable JobScan scan) {
    try {
      apply(row, scan);
    } catch (RuntimeException e) {
      log.failed("job", row.key(), "row " + row.version() + " of " + row.part(), e);
    }
  }

  private void apply(StoredRow row, @Nullable JobScan scan) {
    Optional<String> id = JobRows.job(row.key());
    Optional<Kind> kind = JobRows.kind(row.key());
    if (id.isEmpty() || kind.isEmpty()) {
      return;
    }
    if (!row.part().equals(JobRows.part(cell, id.get()))) {
      // The row belongs to another cell.
      return;
    }
    if (row.removed()) {
      if (kind.get() == Kind.CANCELLATION) {
        tombstones.remove(id.get());
      }
      return;
    }
    switch (kind.get()) {
      case SUBMISSION -> applySubmission(id.get(), row, scan);
      case CANCELLATION -> applyCancellation(id.get(), row);
    }
    onChange.run();
  }

  private void applySubmission(String id, StoredRow row, @Nullable JobScan scan) {
    if (jobs.get(id) != null) {
      return;
    }
    Submission submission = JobRows.submission(id, row.value()).orElse(null);
    if (submission == null) {
      log.decided("job", id, "ignored", "unreadable, row " + row.version());
      return;
    }
    boolean inherited = !loaded;
    Job job = new Job(submission, row.version(), inherited);
    if (scan != null) {
      restore(job, scan);
    }
    if (JobRows.isHidden(row.value())) {
      job.rows().setHidden();
    }
    if (job.state().isFinal()) {
      journal.removeFurtherRows(job);
    }
    if (tombstones.remove(id)) {
      job.cancel();
    }
    jobs.add(job);
    if (job.isCanceled() && !job.state().isFinal()) {
      job.end(JobState.CANCELED, clock.wallMillis());
      jobs.close(job);
      journal.markDirty(job);
    }
    if (!inherited) {
      String what = "queue " + submission.queue() + ", " + submission.steps().size() + " steps";
      log.decided("job", id, "taken", "row " + row.version() + ", " + what);
    }
  }

  /** Restores what the previous holder stored of a job, in its own rows or set aside. */
  private void restore(Job job, JobScan scan) {
    Map<String, ProgressRecord> stored = scan.progress(job.id());
    ProgressRecord aside = journal.setAsideJobs().inherited(job.id());
    if (aside != null && ProgressRows.isNewer(aside, stored.get(job.id()))) {
      journal.setAsideJobs().addInherited(job);
    }
    job.rows().restore(stored, aside).ifPresent(job::restore);
  }

  private void applyCancellation(String id, StoredRow row) {
    Job job = jobs.get(id);
    if (job == null) {
      tombstones.add(id, row.version(), clock.monotonicMillis());
      log.decided("job", id, "tombstone seen", "row " + row.version());
      return;
    }
    log.decided("job", id, "cancellation seen", "row " + row.version());
    lifecycle.cancel(job);
  }
}
