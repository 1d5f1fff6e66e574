package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hemlockpick.cell.JobRows.Kind;
import org.hemlockpick.cell.TableService.Range;
import org.hemlockpick.cell.TableService.WatchResult;
import org.hemlockpick.proto.ProgressRecord;
import org.jspecify.annotations.Nullable;

/** Reads the jobs of the cell from the table service and follows what callers add. */
final class JobFeed {
  private static final long RETRY_MILLIS = 150;
  private static final long WAIT_MILLIS = 1_000;
  private static final long TIMEOUT_MILLIS = WAIT_MILLIS + 500;

  private final String cell;
  private final TableService store;
  private final JobTable jobs;
  private final JobKeeper keeper;
  private final CellJournal journal;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Runnable onChange;

  /** Rows that were read before the submission that they belong to, by job. */
  private final Map<String, ProgressRecord> pendingProgress = new HashMap<>();

  private final Set<String> pendingCancellations = new HashSet<>();

  private boolean loaded;
  private boolean underWay;
  private long nextAt;
  private long version;

  JobFeed(
      String cell,
      TableService store,
      JobTable jobs,
      JobKeeper keeper,
      CellJournal journal,
      LoopClock clock,
      DecisionLog log,
      Runnable onChange) {
    this.cell = cell;
    this.store = store;
    this.jobs = jobs;
    this.keeper = keeper;
    this.journal = journal;
    this.clock = clock;
    this.log = log;
    this.onChange = onChange;
  }

  /** Tells whether every job that an earlier holder may have started is known. */
  boolean isLoaded() {
    return loaded;
  }

  void run(long now) {
    if (underWay || now < nextAt) {
      return;
    }
    underWay = true;
    if (loaded) {
      store.watch(JobRows.TABLE, version, WAIT_MILLIS, TIMEOUT_MILLIS, this::onFeed);
    } else {
      readAll();
    }
  }

  private void readAll() {
    PagedRead.start(store, new Range(JobRows.TABLE, cell, "", ""), this::onAll);
  }

  /** The first read brings the jobs of earlier holders; a later one adds what is not known yet. */
  private void onAll(PagedRead.@Nullable Rows read) {
    underWay = false;
    if (read == null) {
      // After a later read the feed fails again for want of history and leads back here.
      nextAt = clock.monotonicMillis() + RETRY_MILLIS;
      return;
    }
    version = read.version();
    read.rows().forEach(row -> take(row, !loaded));
    pendingProgress.clear();
    if (!loaded) {
      loaded = true;
      log.decided("cell", cell, "jobs read", jobs.open().size() + " open");
    }
  }

  private void onFeed(WatchResult result) {
    underWay = false;
    switch (result.outcome()) {
      case CHANGES -> {
        version = Math.max(version, result.version());
        result.rows().forEach(row -> take(row, false));
      }
      case HISTORY_LOST -> {
        log.decided("cell", cell, "jobs are read again", "the history is gone");
        underWay = true;
        readAll();
      }
      case FAILED -> nextAt = clock.monotonicMillis() + RETRY_MILLIS;
    }
  }

  private void take(StoredRow row, boolean inherited) {
    Optional<String> id = JobRows.job(row.key());
    Optional<Kind> kind = JobRows.kind(row.key());
    boolean foreign = !row.part().equals(cell) || row.removed();
    if (foreign || id.isEmpty() || kind.isEmpty()) {
      return;
    }
    switch (kind.get()) {
      case SUBMISSION -> takeSubmission(id.get(), row, inherited);
      case PROGRESS -> takeProgress(id.get(), row, inherited);
      case CANCELLATION -> takeCancellation(id.get(), row);
    }
    onChange.run();
  }

  private void takeSubmission(String id, StoredRow row, boolean inherited) {
    if (jobs.get(id) != null) {
      return;
    }
    Submission submission = JobRows.submission(id, row.value()).orElse(null);
    if (submission == null) {
      log.decided("job", id, "ignored", "unreadable, row " + row.version());
      return;
    }
    Job job = new Job(submission, row.version(), inherited);
    ProgressRecord progress = pendingProgress.remove(id);
    if (progress != null) {
      job.restore(progress);
    }
    if (pendingCancellations.remove(id)) {
      job.cancel();
    }
    jobs.add(job);
    if (job.isCanceled() && !job.state().isFinal()) {
      job.end(JobState.CANCELED, clock.wallMillis());
      jobs.close(job);
      journal.touch(job);
    }
    if (!inherited) {
      log.decided(
          "job",
          id,
          "taken",
          "row "
              + row.version()
              + ", queue "
              + submission.queue()
              + ", "
              + submission.steps().size()
              + " steps");
    }
  }

  /** Rows come in the order of their keys: cancellation, progress, submission. */
  private void takeProgress(String id, StoredRow row, boolean inherited) {
    if (inherited && jobs.get(id) == null) {
      JobRows.progress(row.value()).ifPresent(record -> pendingProgress.put(id, record));
    }
  }

  private void takeCancellation(String id, StoredRow row) {
    Job job = jobs.get(id);
    if (job == null) {
      pendingCancellations.add(id);
      return;
    }
    log.decided("job", id, "cancellation seen", "row " + row.version());
    keeper.cancel(job);
  }
}
