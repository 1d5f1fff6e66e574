package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;

/** Finds the runs that must be ordered to stop, for the first time or again. */
final class StopReview {
  /**
   * Time beyond that of a stop after which an order to stop that was accepted is sent again, in
   * milliseconds.
   */
  private static final long REPEAT_MILLIS = 2_000;

  /** Interval between two looks for such runs, in milliseconds. */
  private static final long INTERVAL_MILLIS = 50;

  private final CellSettings settings;

  /** Time on the monotonic clock of the next look. */
  private long nextAt = Long.MIN_VALUE;

  StopReview(CellSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns the runs whose stop is unanswered or overdue, and those of finished tasks and jobs;
   * none if it is not time to look.
   */
  List<Run> overdue(Iterable<Worker> workers, long now) {
    List<Run> overdue = new ArrayList<>();
    if (now < nextAt) {
      return overdue;
    }
    nextAt = now + INTERVAL_MILLIS;
    for (Worker worker : workers) {
      for (Run run : worker.runs()) {
        if (needsStopOrder(run, now)) {
          overdue.add(run);
        }
      }
    }
    return overdue;
  }

  private boolean needsStopOrder(Run run, long now) {
    if (run.state() == Run.State.STOPPING) {
      return run.reportableSince() == Long.MAX_VALUE || isStopOverdue(run, now);
    }
    return run.task().job().state().isFinal() || run.task().isDone();
  }

  /** Returns whether a worker that answers has not carried out a stop that it accepted. */
  private boolean isStopOverdue(Run run, long now) {
    long overdueAt = run.stopSentAt() + settings.stopMillis() + REPEAT_MILLIS;
    return now >= overdueAt && !run.worker().isUnresponsive();
  }
}
