package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hemlockpick.cell.TableService.Range;
import org.hemlockpick.proto.ProgressRecord;
import org.jspecify.annotations.Nullable;

/** Reads all rows of the jobs of a cell, from all parts at once. */
final class JobReading {
  private final Consumer<@Nullable JobReading> handler;
  private final List<StoredRow> rows = new ArrayList<>();
  private final Map<String, ProgressRecord> progress = new HashMap<>();
  private int underWay = JobRows.PARTS + 1;
  private long version = Long.MAX_VALUE;
  private boolean failed;

  private JobReading(Consumer<@Nullable JobReading> handler) {
    this.handler = handler;
  }

  /**
   * Begins a reading.
   *
   * @param handler takes the reading once it is whole, or null if a call was not answered
   */
  static void start(String cell, TableService store, Consumer<@Nullable JobReading> handler) {
    JobReading reading = new JobReading(handler);
    Range all = new Range(JobRows.PROGRESS_TABLE, cell, "", "");
    PagedRead.start(store, all, reading::onProgress);
    for (int i = 0; i < JobRows.PARTS; i++) {
      Range part = new Range(JobRows.TABLE, JobRows.part(cell, i), "", "");
      PagedRead.start(store, part, reading::onPart);
    }
  }

  private void onProgress(PagedRead.@Nullable Rows read) {
    if (read != null) {
      for (StoredRow row : read.rows()) {
        JobRows.progress(row.value()).ifPresent(record -> progress.put(row.key(), record));
      }
    }
    end(read == null);
  }

  private void onPart(PagedRead.@Nullable Rows read) {
    if (read != null) {
      rows.addAll(read.rows());
      version = Math.min(version, read.version());
    }
    end(read == null);
  }

  private void end(boolean isMissing) {
    failed |= isMissing;
    underWay--;
    if (underWay == 0) {
      handler.accept(failed ? null : this);
    }
  }

  /** Returns a version after which changes have to be asked for. */
  long version() {
    return version;
  }

  /** Returns what callers wrote, each job's rows in the order of their keys. */
  List<StoredRow> rows() {
    return rows;
  }

  /** Returns what the last holder stored of a job. */
  Optional<ProgressRecord> progress(String job) {
    return Optional.ofNullable(progress.get(job));
  }

  /** Returns the jobs of which only the progress is left, as their removal was cut short. */
  Set<String> orphans() {
    Set<String> orphans = new HashSet<>(progress.keySet());
    rows.forEach(row -> JobRows.job(row.key()).ifPresent(orphans::remove));
    return orphans;
  }
}
