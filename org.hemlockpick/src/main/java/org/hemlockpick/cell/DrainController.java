package org.hemlockpick.cell;

/**
 * Stops runs on workers that are about to leave, unless they complete before, so that their tasks
 * run elsewhere.
 */
final class DrainController {
  /** Part of the remaining time that is reserved for the stop itself. */
  private static final long STOP_MARGIN_MILLIS = 300;

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
      if (run.state() == Run.State.RUNNING && !completesInTime(run, worker)) {
        runner.stop(run, "its worker leaves");
      }
    }
  }

  private boolean completesInTime(Run run, Worker worker) {
    if (run.step().longRunning()) {
      return false;
    }
    long left = worker.entry().remainingMillis() - settings.stopMillis() - STOP_MARGIN_MILLIS;
    return estimator.remainingMillis(run, clock.monotonicMillis()) <= left;
  }
}
