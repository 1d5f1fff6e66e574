package org.hemlockpick.cell;

/** Detects runs that make no progress, and stops them so that they are run elsewhere. */
final class StallDetector {
  /** Minimum time without progress that counts as a stall, in milliseconds. */
  private static final long MIN_STALL_MILLIS = 2_500;

  /**
   * Share of the expected run time that also has to pass: a task of several seconds takes longer
   * for each percent.
   */
  private static final double EXPECTED_TIME_SHARE = 0.5;

  private final TaskRunner runner;
  private final RunTimeEstimator estimator;
  private final LoopClock clock;
  private final DecisionLog log;

  StallDetector(TaskRunner runner, RunTimeEstimator estimator, LoopClock clock, DecisionLog log) {
    this.runner = runner;
    this.estimator = estimator;
    this.clock = clock;
    this.log = log;
  }

  /** Checks the runs of a worker that has just reported. */
  void onReport(Worker worker) {
    long now = clock.monotonicMillis();
    for (Run run : worker.runs()) {
      if (isStalled(run, now)) {
        if (worker.health().onStalled(now)) {
          log.decided("worker", worker.id(), "paused", "a run makes no progress");
        }
        run.task().avoid(worker.id());
        runner.stop(run, "no progress for " + (now - run.lastProgressAt()) + " ms");
      }
    }
  }

  private boolean isStalled(Run run, long now) {
    Step step = run.step();
    boolean idle = step.filler() && (run.pace() < 100 || run.gauge() == 0);
    if (run.state() != Run.State.RUNNING || step.longRunning() || step.gang() || idle) {
      return false;
    }
    long expected = estimator.expectedMillis(run.task().step());
    return now - run.lastProgressAt()
        > Math.max(MIN_STALL_MILLIS, (long) (expected * EXPECTED_TIME_SHARE));
  }
}
