package org.hemlockpick.cell;

import java.util.List;
import java.util.function.Consumer;
import org.hemlockpick.proto.SetAsideJob;
import org.jspecify.annotations.Nullable;

/**
 * The rows that callers wrote for a job, as an entry instance reads them that answers a caller.
 *
 * @param submission row of the submission; null if there is none
 * @param isCanceled whether the job was canceled
 */
record CallerRows(@Nullable StoredRow submission, boolean isCanceled) {
  static CallerRows of(List<StoredRow> rows) {
    StoredRow submission = null;
    boolean isCanceled = false;
    for (StoredRow row : rows) {
      JobRows.Kind kind = JobRows.kind(row.key()).orElse(null);
      submission = kind == JobRows.Kind.SUBMISSION ? row : submission;
      isCanceled |= kind == JobRows.Kind.CANCELLATION;
    }
    return new CallerRows(submission, isCanceled);
  }

  /**
   * Reads the state of a job that may be set aside, as it is hidden from earlier versions.
   *
   * @param handler receives the state; null if the job is not set aside, or the row was not read
   */
  static void readSetAside(
      TableService store,
      String cell,
      String job,
      long timeoutMillis,
      Consumer<@Nullable JobState> handler) {
    store.read(
        CellRows.setAsideRange(cell),
        timeoutMillis,
        result -> handler.accept(state(result.rows(), job)));
  }

  private static @Nullable JobState state(List<StoredRow> rows, String job) {
    return rows.stream()
        .flatMap(row -> CellRows.setAside(row.value()).stream())
        .flatMap(record -> record.getJobsList().stream())
        .filter(entry -> entry.getJob().equals(job))
        .map(SetAsideJob::getProgress)
        .map(progress -> JobRows.state(progress.getState()))
        .findFirst()
        .orElse(null);
  }
}
