package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Slows fillers down when a serving task beside them comes near its latency target: those of the
 * images that are to blame. They are let go faster step by step, and moved if another worker takes
 * them at full speed.
 */
final class PaceSystem {
  /** Tail from which fillers are slowed down, as a share of the target. */
  private static final double SLOW_DOWN = 0.95;

  /** Tail that slowing down aims at. */
  private static final double AIM = 0.7;

  /** Tail below which fillers may go faster. */
  private static final double SPEED_UP = 0.75;

  private static final int FULL = 100;
  private static final double FASTER = 1.5;
  private static final int FASTER_PERCENT = 10;

  /** Share of the largest contribution from which an image is to blame too. */
  private static final double BLAME = 0.3;

  /** Share of the excess that known coefficients must explain for an answer at once. */
  private static final double EXPLAINED = 0.3;

  /** Factor of the pace when no image is known to be to blame. */
  private static final double UNKNOWN_BLAME = 0.6;

  /** Least change of the pace that is worth an order, in percent. */
  private static final int LEAST_CHANGE = 6;

  /** Time for which a change is left to show in the reports. */
  private static final long SETTLE_MILLIS = 800;

  /** Share of their speed below which fillers had better run elsewhere, in percent. */
  private static final int MOVE_PERCENT = 35;

  /** Work of a task without checkpoints that is given up for a move at most, in percent. */
  private static final int MOST_LOST_PERCENT = 30;

  private final long token;
  private final WorkerPort port;
  private final TaskRunner runner;
  private final Interference interference;
  private final LoopClock clock;
  private final DecisionLog log;

  PaceSystem(
      long token,
      WorkerPort port,
      TaskRunner runner,
      Interference interference,
      LoopClock clock,
      DecisionLog log) {
    this.token = token;
    this.port = port;
    this.runner = runner;
    this.interference = interference;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Looks at a worker that has just reported.
   *
   * @param isPlaceable tells whether a task would find room at another worker
   */
  void onReport(Worker worker, Predicate<Task> isPlaceable) {
    interference.learn(worker);
    long now = clock.monotonicMillis();
    if (now - worker.paceChangedAt() >= SETTLE_MILLIS) {
      adapt(worker, now);
    }
    apply(worker);
    move(worker, isPlaceable);
  }

  private void adapt(Worker worker, long now) {
    Run worst = worst(worker);
    if (worst == null) {
      if (!worker.fillerPaces().isEmpty()) {
        worker.setFillerPaces(Map.of(), now);
      }
      return;
    }
    double load = Interference.load(worst);
    Map<String, Double> wanted = Interference.wanted(worker);
    if (load >= SLOW_DOWN && !wanted.isEmpty()) {
      slowDown(worker, worst, load, wanted, now);
    } else if (load < SLOW_DOWN) {
      worker.resetUnexplained();
    }
    if (load < SPEED_UP && !worker.fillerPaces().isEmpty()) {
      speedUp(worker, now);
    }
  }

  private static @Nullable Run worst(Worker worker) {
    Run worst = null;
    for (Run run : worker.runs()) {
      if (run.step().isServing()
          && (worst == null || Interference.load(run) > Interference.load(worst))) {
        worst = run;
      }
    }
    return worst;
  }

  private void slowDown(
      Worker worker, Run worst, double load, Map<String, Double> wanted, long now) {
    String serving = worst.step().image();
    Map<String, Double> parts = new HashMap<>();
    double sum = 0;
    double most = 0;
    for (Map.Entry<String, Double> entry : wanted.entrySet()) {
      double part = interference.coefficient(serving, entry.getKey()) * entry.getValue();
      parts.put(entry.getKey(), part);
      sum += part;
      most = Math.max(most, part);
    }
    double excess = load - AIM;
    boolean explained = sum >= EXPLAINED * excess;
    if (!explained && worker.countUnexplained() < 2) {
      // The load of the serving task itself may explain it.
      return;
    }
    double factor = explained ? Math.max(0, 1 - excess / sum) : UNKNOWN_BLAME;
    Map<String, Integer> paces = new HashMap<>(worker.fillerPaces());
    for (Map.Entry<String, Double> part : parts.entrySet()) {
      if (part.getValue() >= BLAME * most) {
        int pace = (int) (paces.getOrDefault(part.getKey(), FULL) * factor);
        paces.put(part.getKey(), pace);
      }
    }
    worker.setFillerPaces(paces, now);
    log.decided(
        "pace",
        worker.id(),
        "fillers at " + paces,
        serving + " at " + Math.round(load * FULL) + "% of its target, parts " + parts);
  }

  private static void speedUp(Worker worker, long now) {
    Map<String, Integer> paces = new HashMap<>();
    worker
        .fillerPaces()
        .forEach(
            (image, pace) -> {
              int faster = (int) (pace * FASTER) + FASTER_PERCENT;
              if (faster < FULL) {
                paces.put(image, faster);
              }
            });
    worker.setFillerPaces(paces, now);
  }

  /** Moves fillers that are slow here to where they can run at full speed, one at a time. */
  private void move(Worker worker, Predicate<Task> isPlaceable) {
    if (worker.fillerPaces().isEmpty()) {
      return;
    }
    for (Run run : worker.runs()) {
      Step step = run.step();
      boolean cheap = step.checkpoints() || run.percent() < MOST_LOST_PERCENT;
      boolean movable = step.filler() && cheap && run.state() == Run.State.RUNNING;
      int pace = worker.fillerPaces().getOrDefault(step.image(), FULL);
      if (movable && pace <= MOVE_PERCENT && isPlaceable.test(run.task())) {
        runner.stop(run, "slowed down to " + pace + "%");
        return;
      }
    }
  }

  private void apply(Worker worker) {
    for (Run run : worker.runs()) {
      if (!run.step().filler() || run.state() != Run.State.RUNNING) {
        continue;
      }
      int pace = worker.fillerPaces().getOrDefault(run.step().image(), FULL);
      int difference = Math.abs(run.pace() - pace);
      if (difference >= LEAST_CHANGE || (difference > 0 && pace == FULL)) {
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
