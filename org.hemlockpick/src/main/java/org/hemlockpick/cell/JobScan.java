package org.hemlockpick.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;
import org.hemlockpick.cell.TableService.Range;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.rows.ProgressRows;
import org.hemlockpick.proto.ProgressRecord;
import org.jspecify.annotations.Nullable;

/** Reads all rows of the jobs of a cell, a few parts at a time. */
final class JobScan {
  /** Maximum number of parts read at a time; more would only wait for each other on a slow link. */
  private static final int MAX_PARALLEL_READS = 3;

  private final TableService store;
  private final Consumer<@Nullable JobScan> handler;
  private final List<StoredRow> rows = new ArrayList<>();

  /** Progress by job, then by the key of the row. */
  private final Map<String, Map<String, ProgressRecord>> progress = new HashMap<>();

  private final Queue<Runnable> pendingReads = new ArrayDeque<>();
  private int inFlight;
  private long version = Long.MAX_VALUE;
  private boolean failed;

  private JobScan(TableService store, Consumer<@Nullable JobScan> handler) {
    this.store = store;
    this.handler = handler;
  }

  /**
   * Starts a scan.
   *
   * @param handler receives the complete scan, or null if a call was not answered
   */
  static void start(String cell, TableService store, Consumer<@Nullable JobScan> handler) {
    JobScan scan = new JobScan(store, handler);
    scan.add(new Range(ProgressRows.TABLE, cell, "", ""), scan::onProgress);
    for (int i = 0; i < JobRows.PARTS; i++) {
      scan.add(new Range(JobRows.TABLE, JobRows.part(cell, i), "", ""), scan::onPart);
    }
    scan.startNext();
  }

  private void add(Range range, Consumer<PagedRead.@Nullable Rows> rowHandler) {
    pendingReads.add(() -> PagedRead.start(store, range, rowHandler));
  }

  private void startNext() {
    while (inFlight < MAX_PARALLEL_READS && !pendingReads.isEmpty()) {
      inFlight++;
      pendingReads.remove().run();
    }
  }

  private void onProgress(PagedRead.@Nullable Rows read) {
    if (read != null) {
      for (StoredRow row : read.rows()) {
        ProgressRows.parse(row.key(), row.value()).ifPresent(record -> add(row.key(), record));
      }
    }
    onReadDone(read == null);
  }

  private void add(String key, ProgressRecord record) {
    progress.computeIfAbsent(ProgressRows.job(key), job -> new HashMap<>()).put(key, record);
  }

  private void onPart(PagedRead.@Nullable Rows read) {
    if (read != null) {
      rows.addAll(read.rows());
      version = Math.min(version, read.version());
    }
    onReadDone(read == null);
  }

  private void onReadDone(boolean failedRead) {
    failed |= failedRead;
    inFlight--;
    if (failed) {
      pendingReads.clear();
    }
    if (inFlight == 0 && pendingReads.isEmpty()) {
      handler.accept(failed ? null : this);
      return;
    }
    startNext();
  }

  /** Returns the version after which changes must be watched. */
  long version() {
    return version;
  }

  /** Returns the rows written by callers, those of each job in the order of their keys. */
  List<StoredRow> rows() {
    return rows;
  }

  /** Returns the progress of a job that the previous holder stored, by the keys of its rows. */
  Map<String, ProgressRecord> progress(String job) {
    return progress.getOrDefault(job, Map.of());
  }

  /**
   * Returns the rows of progress of jobs of which nothing else is left, as their removal was
   * interrupted.
   */
  List<RowName> orphans() {
    Set<String> orphans = new HashSet<>(progress.keySet());
    rows.forEach(row -> JobRows.job(row.key()).ifPresent(orphans::remove));
    return orphans.stream()
        .flatMap(job -> progress(job).keySet().stream())
        .map(key -> new RowName(ProgressRows.TABLE, key))
        .toList();
  }
}
