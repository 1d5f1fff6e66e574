package org.hemlockpick.cell;

/** Decides from the time that is left to a draining worker whether its runs must be stopped now. */
final class DrainDeadline {
  /** Part of the remaining time that is reserved for the stop itself. */
  private static final long STOP_MARGIN_MILLIS = 300;

  /**
   * Remaining time in which no further report of the worker is expected, so that its runs are
   * stopped however many tasks are unavailable, in milliseconds.
   */
  private static final long LAST_REPORT_MILLIS = 1_500;

  /**
   * Time before that from which capacity is freed elsewhere, in milliseconds: the runs there are
   * stopped, and their ends listed, while the task still runs.
   */
  private static final long PREEMPT_BEFORE_MILLIS = 1_500;

  private final CellSettings settings;
  private final LoopClock clock;

  DrainDeadline(CellSettings settings, LoopClock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  /** Returns the time in which a stop can still be ordered, in milliseconds. */
  long millisForStop(Worker worker) {
    long remaining = worker.remainingMillis(clock.monotonicMillis());
    return remaining - settings.stopMillis() - STOP_MARGIN_MILLIS;
  }

  /** Returns whether the runs of a draining worker must be stopped now. */
  boolean isReached(Worker worker) {
    return worker.entry().draining() && millisForStop(worker) <= LAST_REPORT_MILLIS;
  }

  /** Returns whether the runs of a draining worker must be stopped soon. */
  boolean isNear(Worker worker) {
    return worker.entry().draining()
        && millisForStop(worker) <= LAST_REPORT_MILLIS + PREEMPT_BEFORE_MILLIS;
  }
}
