package org.hemlockpick.cell;

/**
 * Records which ends that workers report are stored, so that they can be confirmed. They are
 * confirmed up to a number: an end that cannot be stored holds up all later ones, and a worker
 * lists a limited number of ends that are not confirmed.
 */
final class EndRecorder {
  /**
   * Number of ends that may be held up at a worker before the jobs that hold them up are set aside:
   * well below the number that a worker lists.
   */
  private static final int MAX_HELD_UP = 100;

  private final CellJournal journal;
  private final LoopClock clock;

  EndRecorder(CellJournal journal, LoopClock clock) {
    this.journal = journal;
    this.clock = clock;
  }

  /** Records the ends that a worker has reported, once they are stored. */
  void recordWhenStored(Worker worker) {
    long last = worker.completions().last();
    long bootTime = worker.entry().bootTimeMillis();
    journal.whenStored(() -> record(worker, last, bootTime));
  }

  private void record(Worker worker, long last, long bootTime) {
    WorkerCompletions completions = worker.completions();
    boolean isSameBoot = worker.entry().bootTimeMillis() == bootTime && completions.last() >= last;
    if (!isSameBoot) {
      return;
    }
    long stored = completions.lastStored(last, journal::isRefused);
    if (stored > completions.recorded()) {
      completions.setRecorded(stored);
      worker.setNextHoldAt(Math.min(worker.nextHoldAt(), clock.monotonicMillis()));
    }
    if (last - stored > MAX_HELD_UP) {
      completions.unrecordedJobs(last).stream()
          .filter(journal::isRefused)
          .forEach(journal::setAside);
    }
  }
}
