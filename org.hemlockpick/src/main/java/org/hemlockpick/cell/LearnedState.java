package org.hemlockpick.cell;

import java.util.List;
import org.hemlockpick.cell.rows.BoundedRecords;
import org.hemlockpick.proto.HarmEntry;
import org.hemlockpick.proto.LearnedRecord;
import org.hemlockpick.proto.QueueMean;

/**
 * Stores what the holder has learned about tasks, so that the next holder need not learn it again
 * at their expense, and lets it decay.
 */
final class LearnedState {
  /** Interval between two records, in milliseconds. */
  private static final long INTERVAL_MILLIS = 1_500;

  /** Maximum number of entries of each kind. */
  private static final int MAX_ENTRIES = 300;

  private final InterferenceModel interference;
  private final RunTimeEstimator estimator;
  private final CellJournal journal;

  /** Largest value of a row, in bytes. */
  private final int rowBytes;

  private LearnedRecord stored = LearnedRecord.getDefaultInstance();
  private long nextUpdateAt;

  LearnedState(
      InterferenceModel interference,
      RunTimeEstimator estimator,
      CellJournal journal,
      int rowBytes) {
    this.interference = interference;
    this.estimator = estimator;
    this.journal = journal;
    this.rowBytes = rowBytes;
  }

  /** Restores what an earlier holder learned. */
  void restore(LearnedRecord record) {
    interference.restore(record);
    estimator.restore(record);
  }

  void run(long now) {
    if (now < nextUpdateAt) {
      return;
    }
    nextUpdateAt = now + INTERVAL_MILLIS;
    interference.decay(INTERVAL_MILLIS);
    LearnedRecord.Builder record = LearnedRecord.newBuilder().setFormat(JobRows.FORMAT);
    interference.store(record, MAX_ENTRIES);
    estimator.store(record, MAX_ENTRIES);
    LearnedRecord newest = fitting(record);
    if (!newest.equals(stored)) {
      stored = newest;
      journal.setLearned(newest);
    }
  }

  /** Returns the record without the entries for which the row has no room: they are forgotten. */
  private LearnedRecord fitting(LearnedRecord.Builder record) {
    List<HarmEntry> harm = BoundedRecords.fitting(record.getHarmList(), rowBytes / 2);
    List<QueueMean> means = BoundedRecords.fitting(record.getMeansList(), rowBytes / 2);
    return record.clearHarm().addAllHarm(harm).clearMeans().addAllMeans(means).build();
  }
}
