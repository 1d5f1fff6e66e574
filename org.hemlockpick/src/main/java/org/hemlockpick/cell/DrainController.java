package org.hemlockpick.cell;

/**
 * Stops runs on workers that are about to leave, unless they complete before, so that their tasks
 * run elsewhere.
 */
final class DrainController {
  /** Part of the remaining time that is reserved for the stop itself. */
  private static final long STOP_MARGIN_MILLIS = 300;

  /**
   * Remaining time in which no further report of the worker is expected, so that its runs are
   * stopped however many tasks are unavailable, in milliseconds.
   */
  private static final long LAST_REPORT_MILLIS = 1_500;

  private final CellSettings settings;
  private final TaskRunner runner;
  private final RunTimeEstimator estimator;
  private final LoopClock clock;

  DrainController(
      CellSettings settings, TaskRunner runner, RunTimeEstimator estimator, LoopClock clock) {
    this.settings = settings;
    this.runner = runner;
    this.estimator = estimator;
    this.clock = clock;
  }

  /** Checks the runs of a worker that has just reported. */
  void onReport(Worker worker) {
    if (!worker.entry().draining()) {
      return;
    }
    for (Run run : worker.runs()) {
      if (run.state() != Run.State.RUNNING || completesInTime(run, worker)) {
        continue;
      }
      if (millisForStop(worker) <= LAST_REPORT_MILLIS) {
        runner.stop(run, "its worker leaves");
      } else {
        runner.tryStop(run, "its worker leaves");
      }
    }
  }

  /** Returns the time in which a stop can still be ordered, in milliseconds. */
  private long millisForStop(Worker worker) {
    return worker.entry().remainingMillis() - settings.stopMillis() - STOP_MARGIN_MILLIS;
  }

  private boolean completesInTime(Run run, Worker worker) {
    if (run.step().longRunning()) {
      return false;
    }
    return estimator.remainingMillis(run, clock.monotonicMillis()) <= millisForStop(worker);
  }
}
