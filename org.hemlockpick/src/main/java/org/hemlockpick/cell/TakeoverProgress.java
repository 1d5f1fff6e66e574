package org.hemlockpick.cell;

/** Carries out what follows once workers of earlier holders are accounted for. */
final class TakeoverProgress {
  private final TakeoverTracker tracker;
  private final CrashDoubts doubts;
  private final WorkerList workerList;
  private final CellJournal journal;

  TakeoverProgress(
      TakeoverTracker tracker, CrashDoubts doubts, WorkerList workerList, CellJournal journal) {
    this.tracker = tracker;
    this.doubts = doubts;
    this.workerList = workerList;
    this.journal = journal;
  }

  /** Looks for expired leases; returns whether tasks may have become startable. */
  boolean run(long now) {
    boolean isChanged = tracker.run(now, journal.exclusiveUntil(now));
    if (doubts.run() || isChanged) {
      workerList.requestRosterWrite();
    }
    if (isChanged && tracker.isComplete() && !tracker.arePlacementsStored()) {
      // The runs that were found are stored with their placement.
      journal.whenStored(this::onPlacementsStored);
    }
    return isChanged;
  }

  private void onPlacementsStored() {
    tracker.setPlacementsStored();
    workerList.requestRosterWrite();
  }
}
