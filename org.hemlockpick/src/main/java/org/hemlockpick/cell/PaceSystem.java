package org.hemlockpick.cell;

import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;

/**
 * Keeps fillers from harming serving tasks beside them. Fillers of a harmful image are moved away,
 * or stand still while a serving task is near its latency target. When a tail is over its target
 * and no image is known to be harmful, all fillers of the worker are slowed down for a while.
 */
final class PaceSystem {
  private static final int FULL = 100;
  private static final int HALF = 50;

  /** Tail above which fillers of a harmful image stand still, as a share of the target. */
  private static final double NEAR = 0.55;

  /** Tail from which all fillers are slowed down if it grows, as a share of the target. */
  private static final double HIGH = 0.9;

  /** Tail below which they go at full speed again. */
  private static final double CALM = 0.7;

  /** Tail from which fillers are moved even if no other worker has room for them. */
  private static final double OVER = 0.95;

  /** Work of a task without checkpoints that is given up for a move at most, in percent. */
  private static final int MOST_LOST_PERCENT = 30;

  private final long token;
  private final WorkerPort port;

  /** Stops a run for a reason. */
  private final BiConsumer<Run, String> stop;

  private final Interference interference;
  private final DecisionLog log;

  PaceSystem(
      long token,
      WorkerPort port,
      BiConsumer<Run, String> stop,
      Interference interference,
      DecisionLog log) {
    this.token = token;
    this.port = port;
    this.stop = stop;
    this.interference = interference;
    this.log = log;
  }

  /**
   * Looks at a worker that has just reported.
   *
   * @param isPlaceable tells whether a task would find room at another worker
   */
  void onReport(Worker worker, Predicate<Task> isPlaceable) {
    interference.learn(worker);
    Run worst = Interference.worst(worker);
    double load = worst == null ? 0 : Interference.load(worst);
    boolean isGrowing = worst != null && load >= HIGH && Interference.isGrowing(worst);
    boolean isKnown = hasHarmful(worker);
    for (Run run : worker.runs()) {
      if (run.step().filler() && run.state() == Run.State.RUNNING) {
        decide(run, load, isGrowing && !isKnown, isPlaceable);
      }
    }
  }

  private boolean hasHarmful(Worker worker) {
    for (Run run : worker.runs()) {
      if (run.step().filler() && isHarmful(run)) {
        return true;
      }
    }
    return false;
  }

  private boolean isHarmful(Run run) {
    return interference.risk(run.worker(), run.step().image()) >= Interference.HARMFUL;
  }

  private void decide(Run run, double load, boolean isUnexplained, Predicate<Task> isPlaceable) {
    if (!isHarmful(run)) {
      setPace(run, isUnexplained ? HALF : load < CALM ? FULL : run.pace(), load);
      return;
    }
    boolean isCheap = run.step().checkpoints() || run.percent() < MOST_LOST_PERCENT;
    if (isCheap && (load >= OVER || isPlaceable.test(run.task()))) {
      stop.accept(run, "harms serving tasks, worst at " + percent(load) + "% of its target");
      return;
    }
    setPace(run, load >= NEAR ? 0 : HALF, load);
  }

  private void setPace(Run run, int pace, double load) {
    if (run.pace() == pace) {
      return;
    }
    log.decided(
        "pace",
        run.name().task().toString(),
        pace + "% at " + run.worker().id(),
        "worst serving task at " + percent(load) + "% of its target");
    int before = run.pace();
    run.setPace(pace);
    port.pace(
        run.worker().target(),
        run.name(),
        pace,
        token,
        reply -> {
          if (reply.outcome() != OrderOutcome.ACCEPTED) {
            run.setPace(before);
          }
        });
  }

  private static long percent(double share) {
    return Math.round(share * FULL);
  }
}
