package org.hemlockpick.cell;

import org.hemlockpick.proto.LearnedRecord;

/**
 * Keeps what the holder learns of the work, so that the next holder need not learn it anew at the
 * cost of the tasks, and lets it fade.
 */
final class Experience {
  /** Pause between two records, in milliseconds. */
  private static final long PAUSE_MILLIS = 1_500;

  /** Most entries of each kind, for which a row has room. */
  private static final int MOST_ENTRIES = 300;

  private final Interference interference;
  private final RunTimes times;
  private final CellJournal journal;
  private LearnedRecord stored = LearnedRecord.getDefaultInstance();
  private long nextAt;

  Experience(Interference interference, RunTimes times, CellJournal journal) {
    this.interference = interference;
    this.times = times;
    this.journal = journal;
  }

  /** Takes over what an earlier holder learned. */
  void restore(LearnedRecord record) {
    interference.restore(record);
    times.restore(record);
  }

  void run(long now) {
    if (now < nextAt) {
      return;
    }
    nextAt = now + PAUSE_MILLIS;
    interference.fade(PAUSE_MILLIS);
    LearnedRecord.Builder record = LearnedRecord.newBuilder().setFormat(JobRows.FORMAT);
    interference.store(record, MOST_ENTRIES);
    times.store(record, MOST_ENTRIES);
    LearnedRecord newest = record.build();
    if (!newest.equals(stored)) {
      stored = newest;
      journal.setLearned(newest);
    }
  }
}
