package org.hemlockpick.cell;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;

/**
 * Keeps an allowance of processor time for the fillers of each worker with serving tasks. It
 * shrinks at once when a serving task comes near its latency target and grows step by step while
 * all stay well below. Fillers beyond the allowance are slowed down, and moved if they can run
 * elsewhere.
 */
final class PaceSystem {
  /** Share of the target from which the allowance shrinks, in percent. */
  private static final int SHRINK_PERCENT = 80;

  /** Share of the target below which the allowance may grow, in percent. */
  private static final int GROW_PERCENT = 66;

  /** Share of the target that the allowance aims at, in percent. */
  private static final int AIM_PERCENT = 72;

  /** Usual tail latency without fillers, in percent of the target. */
  private static final int BASE_PERCENT = 32;

  private static final int FULL = 100;
  private static final double GROW = 1.25;
  private static final long GROW_MILLICORES = 3_000;

  /** Least change of the pace that is worth an order, in percent. */
  private static final int LEAST_CHANGE = 8;

  /** Time for which a change is left to show in the reports. */
  private static final long SETTLE_MILLIS = 800;

  /** Share of their speed below which fillers had better run elsewhere, in percent. */
  private static final int MOVE_PERCENT = 35;

  private final long token;
  private final WorkerPort port;
  private final TaskRunner runner;
  private final FillerWeights weights;
  private final LoopClock clock;
  private final DecisionLog log;

  PaceSystem(
      long token,
      WorkerPort port,
      TaskRunner runner,
      FillerWeights weights,
      LoopClock clock,
      DecisionLog log) {
    this.token = token;
    this.port = port;
    this.runner = runner;
    this.weights = weights;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Looks at a worker that has just reported.
   *
   * @param isPlaceable tells whether a task would find room at another worker
   */
  void onReport(Worker worker, Predicate<Task> isPlaceable) {
    if (worker.hasServing()) {
      adapt(worker);
    }
    int pace = pace(worker);
    apply(worker, pace);
    if (pace <= MOVE_PERCENT) {
      move(worker, pace, isPlaceable);
    }
  }

  private void adapt(Worker worker) {
    long now = clock.monotonicMillis();
    long load = worstLoad(worker);
    long allowance = worker.fillerAllowance();
    long used = Math.min(allowance, usage(worker));
    if (now - worker.allowanceChangedAt() < SETTLE_MILLIS) {
      return;
    }
    if (load >= SHRINK_PERCENT && used > 0) {
      images(worker).forEach(weights::disturbed);
      // The excess over the usual latency is taken as proportional to what the fillers use.
      set(worker, used * (AIM_PERCENT - BASE_PERCENT) / (load - BASE_PERCENT), load, now);
    } else if (load < GROW_PERCENT && used * 2 >= allowance) {
      images(worker).forEach(weights::tolerated);
      set(worker, (long) (allowance * GROW) + GROW_MILLICORES, load, now);
    }
  }

  private void set(Worker worker, long wanted, long load, long now) {
    long allowance = Math.min(wanted, worker.entry().capacity().cpuMillis());
    if (allowance < worker.fillerAllowance()) {
      log.decided(
          "pace",
          worker.id(),
          "fillers get " + allowance + " millicores",
          "worst serving task at " + load + "% of its target, had " + worker.fillerAllowance());
    }
    worker.setFillerAllowance(allowance, now);
  }

  /** Returns the weighed processor time that the fillers of a worker want. */
  private long usage(Worker worker) {
    long sum = 0;
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        sum += weights.weigh(run.step());
      }
    }
    return sum;
  }

  private static Set<String> images(Worker worker) {
    Set<String> images = new HashSet<>();
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        images.add(run.step().image());
      }
    }
    return images;
  }

  /** Returns the share of their speed that the allowance leaves to the fillers, in percent. */
  private int pace(Worker worker) {
    long usage = usage(worker);
    if (!worker.hasServing() || usage <= worker.fillerAllowance()) {
      return FULL;
    }
    return (int) (worker.fillerAllowance() * FULL / usage);
  }

  /** Returns the highest tail latency of a serving task, in percent of its target. */
  private static long worstLoad(Worker worker) {
    long worst = 0;
    for (Run run : worker.runs()) {
      if (run.step().isServing()) {
        worst = Math.max(worst, run.gauge() * FULL / run.step().tailTargetMillis());
      }
    }
    return worst;
  }

  /** Moves a filler that keeps its work to where it can run at full speed. */
  private void move(Worker worker, int pace, Predicate<Task> isPlaceable) {
    for (Run run : worker.runs()) {
      Step step = run.step();
      boolean movable = step.filler() && step.checkpoints() && run.state() == Run.State.RUNNING;
      if (movable && isPlaceable.test(run.task())) {
        runner.stop(run, "slowed down to " + pace + "%");
        return;
      }
    }
  }

  private void apply(Worker worker, int pace) {
    for (Run run : worker.runs()) {
      int difference = Math.abs(run.pace() - pace);
      boolean matters = difference >= LEAST_CHANGE || (difference > 0 && pace == FULL);
      if (run.step().filler() && run.state() == Run.State.RUNNING && matters) {
        send(run, pace);
      }
    }
  }

  private void send(Run run, int pace) {
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
}
