package org.hemlockpick.cell;

import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;

/**
 * Keeps fillers from harming the serving tasks on their worker. Fillers of a harmful image are
 * moved away, or paused while a serving task is near its latency target. When a tail latency is
 * over its target and no image is known to be harmful, all fillers of the worker are throttled for
 * a while.
 */
final class PaceController {
  private static final int FULL_PERCENT = 100;
  private static final int HALF_PERCENT = 50;

  /** Pace that the harmful fillers of a worker share near the target, in percent. */
  private static final int SLOW_PERCENT = 25;

  /** Tail latency from which fillers of a harmful image share a pace, relative to the target. */
  private static final double NEAR_TARGET_RATIO = 0.55;

  /** Tail latency from which they are paused, relative to the target. */
  private static final double MAX_SLOW_TAIL_RATIO = 0.7;

  /** Tail latency from which all fillers are throttled if it grows, relative to the target. */
  private static final double HIGH_TAIL_RATIO = 0.9;

  /** Tail latency below which they run at full speed again, relative to the target. */
  private static final double CALM_TAIL_RATIO = 0.7;

  /**
   * Tail latency from which fillers are moved even if they fit on no other worker, relative to the
   * target.
   */
  private static final double FORCED_MOVE_TAIL_RATIO = 0.95;

  /** Maximum work of a task without checkpoints that is given up for a move, in percent. */
  private static final int MAX_LOST_PERCENT = 30;

  private final long token;
  private final WorkerPort port;

  /** Stops a run for a given reason, unless too many tasks of its step are unavailable. */
  private final BiPredicate<Run, String> tryStop;

  private final InterferenceModel interference;
  private final DecisionLog log;

  PaceController(
      long token,
      WorkerPort port,
      BiPredicate<Run, String> tryStop,
      InterferenceModel interference,
      DecisionLog log) {
    this.token = token;
    this.port = port;
    this.tryStop = tryStop;
    this.interference = interference;
    this.log = log;
  }

  /** Slows a filler down that has just started where it is believed to do harm. */
  void onStarted(Run run) {
    Worker worker = run.worker();
    if (run.step().filler() && interference.isHarmful(worker, run.step().image())) {
      double tailRatio = InterferenceModel.worstTailRatio(worker);
      setPace(run, harmfulPace(tailRatio, interference.countHarmful(worker)), tailRatio);
    }
  }

  /**
   * Adjusts the pace of the fillers on a worker that has just reported.
   *
   * @param isPlaceable returns whether a task could be placed on another worker
   */
  void onReport(Worker worker, Predicate<Task> isPlaceable) {
    interference.learn(worker);
    Run worst = worker.worstServingRun();
    double tailRatio = worst == null ? 0 : InterferenceModel.tailRatio(worst);
    boolean isGrowing =
        worst != null && tailRatio >= HIGH_TAIL_RATIO && InterferenceModel.isTailGrowing(worst);
    int harmful = interference.countHarmful(worker);
    for (Run run : worker.runs()) {
      if (run.step().filler() && run.state() == Run.State.RUNNING) {
        decide(run, tailRatio, isGrowing && harmful == 0, harmful, isPlaceable);
      }
    }
  }

  private void decide(
      Run run, double tailRatio, boolean isUnexplained, int harmful, Predicate<Task> isPlaceable) {
    if (!interference.isHarmful(run.worker(), run.step().image())) {
      setPace(
          run,
          isUnexplained ? HALF_PERCENT : tailRatio < CALM_TAIL_RATIO ? FULL_PERCENT : run.pace(),
          tailRatio);
      return;
    }
    boolean isCheapToMove = run.step().checkpoints() || run.progressPercent() < MAX_LOST_PERCENT;
    boolean isMoved =
        isCheapToMove && (tailRatio >= FORCED_MOVE_TAIL_RATIO || isPlaceable.test(run.task()));
    String reason = "harms serving tasks, worst at " + percent(tailRatio) + "% of its target";
    if (isMoved && tryStop.test(run, reason)) {
      return;
    }
    setPace(run, harmfulPace(tailRatio, harmful), tailRatio);
  }

  /** Returns the pace of each of the harmful fillers on a worker, in percent. */
  private static int harmfulPace(double tailRatio, int harmful) {
    if (tailRatio < NEAR_TARGET_RATIO) {
      return HALF_PERCENT;
    }
    return tailRatio < MAX_SLOW_TAIL_RATIO ? SLOW_PERCENT / harmful : 0;
  }

  private void setPace(Run run, int pace, double tailRatio) {
    if (run.pace() == pace) {
      return;
    }
    log.decided(
        "pace",
        run.id().task().toString(),
        pace + "% at " + run.worker().id(),
        "worst serving task at " + percent(tailRatio) + "% of its target");
    int before = run.pace();
    run.setPace(pace);
    port.pace(
        run.worker().target(),
        run.id(),
        pace,
        run.worker().token(token),
        reply -> {
          if (reply.outcome() != OrderOutcome.ACCEPTED) {
            run.setPace(before);
          }
        });
  }

  private static long percent(double share) {
    return Math.round(share * FULL_PERCENT);
  }
}
