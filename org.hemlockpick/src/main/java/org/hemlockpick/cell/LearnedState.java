package org.hemlockpick.cell;

import org.hemlockpick.proto.LearnedRecord;

/**
 * Keeps what the holder learns of the work, so that the next holder need not learn it anew at the
 * cost of the tasks, and lets it fade.
 */
final class LearnedState {
  /** Pause between two records, in milliseconds. */
  private static final long INTERVAL_MILLIS = 1_500;

  /** Most entries of each kind, for which a row has room. */
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

  /** Takes over what an earlier holder learned. */
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
