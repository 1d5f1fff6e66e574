package org.hemlockpick.cell;

import org.hemlockpick.proto.LearnedRecord;

/**
 * Stores what the holder has learned about tasks, so that the next holder need not learn it again
 * at their expense, and lets it decay.
 */
final class LearnedState {
  /** Interval between two records, in milliseconds. */
  private static final long INTERVAL_MILLIS = 1_500;

  /** Maximum number of entries of each kind that fit into a row. */
  private static final int MAX_ENTRIES = 300;

  private final InterferenceModel interference;
  private final RunTimeEstimator estimator;
  private final CellJournal journal;
  private LearnedRecord stored = LearnedRecord.getDefaultInstance();
  private long nextUpdateAt;

  LearnedState(InterferenceModel interference, RunTimeEstimator estimator, CellJournal journal) {
    this.interference = interference;
    this.estimator = estimator;
    this.journal = journal;
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
    LearnedRecord newest = record.build();
    if (!newest.equals(stored)) {
      stored = newest;
      journal.setLearned(newest);
    }
  }
}
