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

  /**
   * Time after which a filler that uses no CPU is moved, in milliseconds: others may leave it none,
   * its worker may do no work, or an earlier holder may have paused it.
   */
  private static final long MAX_IDLE_MILLIS = 10_000;

  /**
   * Time after which a filler that is slowed down and stands still is moved, in milliseconds: it
   * should have been continued by then.
   */
  private static final long MAX_PAUSED_MILLIS = 30_000;

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
        boolean isAtFault = !isSlowedDown(run) && !isIdle(run);
        if (isAtFault && worker.health().onStalled(now)) {
          log.decided("worker", worker.id(), "paused", "a run makes no progress");
        }
        run.task().avoid(worker.id());
        runner.stop(run, "no progress for " + (now - run.lastProgressAt()) + " ms");
      }
    }
  }

  private boolean isStalled(Run run, long now) {
    Step step = run.step();
    if (run.state() != Run.State.RUNNING || step.longRunning() || step.gang()) {
      return false;
    }
    return now - run.lastProgressAt() > maxMillisWithoutProgress(run);
  }

  private long maxMillisWithoutProgress(Run run) {
    long expected = estimator.expectedMillis(run.task().step());
    long usual = Math.max(MIN_STALL_MILLIS, (long) (expected * EXPECTED_TIME_SHARE));
    if (isSlowedDown(run)) {
      return Math.max(MAX_PAUSED_MILLIS, usual);
    }
    return isIdle(run) ? Math.max(MAX_IDLE_MILLIS, usual) : usual;
  }

  private static boolean isSlowedDown(Run run) {
    return run.step().filler() && run.pace() < 100;
  }

  /** Returns whether a filler uses no CPU, as far as is known. */
  private static boolean isIdle(Run run) {
    return run.step().filler() && run.gauge() == 0;
  }
}
