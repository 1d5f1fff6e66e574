package org.hemlockpick.cell;

import org.hemlockpick.cell.WorkerPort.OrderOutcome;

/**
 * Slows the fillers of a worker down when a serving task beside them comes near its latency target,
 * and lets them go faster again step by step.
 */
final class PaceSystem {
  /** Share of the target from which fillers are slowed down, in percent. */
  private static final int SLOW_DOWN_PERCENT = 85;

  /** Share of the target below which fillers may go faster, in percent. */
  private static final int SPEED_UP_PERCENT = 60;

  private static final int FULL = 100;
  private static final int LEAST = 10;
  private static final int SPEED_UP_STEP = 20;

  /** Time for which a change is left to show in the reports. */
  private static final long SETTLE_MILLIS = 700;

  private static final long SPEED_UP_PAUSE_MILLIS = 1_500;

  /** Share of their speed below which fillers had better run elsewhere, in percent. */
  private static final int MOVE_PERCENT = 30;

  private final long token;
  private final WorkerPort port;
  private final TaskRunner runner;
  private final LoopClock clock;
  private final DecisionLog log;

  PaceSystem(long token, WorkerPort port, TaskRunner runner, LoopClock clock, DecisionLog log) {
    this.token = token;
    this.port = port;
    this.runner = runner;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Looks at a worker that has just reported.
   *
   * @param roomElsewhere processor time that fillers could have at a worker without serving tasks
   */
  void onReport(Worker worker, long roomElsewhere) {
    long now = clock.monotonicMillis();
    long load = worstLoad(worker);
    int pace = worker.fillerPace();
    long settled = now - worker.paceChangedAt();
    if (load >= SLOW_DOWN_PERCENT && pace > 0 && settled >= SETTLE_MILLIS) {
      change(worker, slower(pace, load), load, now);
    } else if (load < SPEED_UP_PERCENT && pace < FULL && settled >= SPEED_UP_PAUSE_MILLIS) {
      change(worker, Math.min(FULL, pace + SPEED_UP_STEP), load, now);
    }
    apply(worker);
    if (worker.fillerPace() <= MOVE_PERCENT) {
      move(worker, roomElsewhere);
    }
  }

  /** Moves a filler that keeps its work to where it can run at full speed. */
  private void move(Worker worker, long roomElsewhere) {
    for (Run run : worker.runs()) {
      Step step = run.step();
      boolean movable = step.filler() && step.checkpoints() && run.state() == Run.State.RUNNING;
      if (movable && step.demand().cpuMillis() <= roomElsewhere) {
        runner.stop(run, "slowed down to " + worker.fillerPace() + "%");
        return;
      }
    }
  }

  private static int slower(int pace, long load) {
    int half = load >= FULL ? pace / 4 : pace / 2;
    return half < LEAST ? 0 : half;
  }

  private void change(Worker worker, int pace, long load, long now) {
    log.decided(
        "pace",
        worker.id(),
        "fillers at " + pace + "%",
        "worst serving task at " + load + "% of its target, before " + worker.fillerPace() + "%");
    worker.setFillerPace(pace, now);
  }

  /** Returns the highest tail latency of a serving task, in percent of its target. */
  private static long worstLoad(Worker worker) {
    long worst = 0;
    for (Run run : worker.runs()) {
      if (run.step().isServing()) {
        worst = Math.max(worst, run.gauge() * 100 / run.step().tailTargetMillis());
      }
    }
    return worst;
  }

  private void apply(Worker worker) {
    for (Run run : worker.runs()) {
      boolean differs = run.step().filler() && run.pace() != worker.fillerPace();
      if (differs && run.state() == Run.State.RUNNING) {
        int before = run.pace();
        int pace = worker.fillerPace();
        run.setPace(pace);
        port.pace(
            worker.target(),
            run.name(),
            pace,
            token,
            reply -> {
              if (reply.outcome() != OrderOutcome.ACCEPTED) {
                run.setPace(before);
              }
            });
      }
    }
  }
}
