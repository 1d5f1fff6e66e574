package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much the fillers of each image raise the tail latency of serving tasks of each image.
 *
 * <p>The tail of a serving task, as a share of its target, is taken as a base plus the sum over the
 * images of fillers beside it of a coefficient times the share of the worker's processors that they
 * use. Each report corrects the coefficients in proportion to what each image used, so that they
 * follow changes within a few reports.
 */
final class Interference {
  /** Coefficient of a pair that was never seen together. */
  private static final double FIRST_COEFFICIENT = 0.8;

  /** Share of the error by which a report corrects a prediction that was too low. */
  private static final double RISE_RATE = 0.7;

  /** Share of the error by which a report corrects a prediction that was too high. */
  private static final double FALL_RATE = 0.25;

  /** Use of the processors below which a report says little, so that noise is not learned. */
  private static final double TELLING_USE = 0.08;

  /** Largest coefficient; bounds what a single report can claim. */
  private static final double MOST = 40;

  /** Largest error that is learned from at once, in shares of the target. */
  private static final double MOST_ERROR = 3;

  /** Error that the load of the serving task itself explains, in shares of the target. */
  private static final double USUAL_SWING = 0.3;

  /** Use of the processors below which a report says nothing about fillers. */
  private static final double LEAST_USE = 0.01;

  private static final double FIRST_BASE = 0.4;
  private static final double BASE_RATE = 0.02;

  private final Map<String, Map<String, Double>> coefficients = new HashMap<>();
  private final Map<String, Double> bases = new HashMap<>();

  /** Learns from a worker that has just reported. */
  void learn(Worker worker) {
    Map<String, Double> use = use(worker);
    double total = use.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Run run : worker.runs()) {
      if (!run.step().isServing() || run.gauge() <= 0) {
        continue;
      }
      double load = load(run);
      if (total < LEAST_USE) {
        bases.merge(run.step().image(), load, (base, newest) -> base + BASE_RATE * (newest - base));
      } else {
        correct(run.step().image(), load, use);
      }
    }
  }

  private void correct(String serving, double load, Map<String, Double> use) {
    double predicted = predict(serving, use);
    double error = Math.max(-MOST_ERROR, Math.min(MOST_ERROR, load - predicted));
    if (error > 0) {
      error = Math.max(0, error - USUAL_SWING);
    }
    double squares = 0;
    for (double share : use.values()) {
      squares += share * share;
    }
    Map<String, Double> row = coefficients.computeIfAbsent(serving, image -> new HashMap<>());
    double rate = error > 0 ? RISE_RATE : FALL_RATE;
    double scale = rate * error / (squares + TELLING_USE * TELLING_USE);
    use.forEach(
        (filler, share) -> {
          double corrected = coefficient(serving, filler) + scale * share;
          row.put(filler, Math.max(0, Math.min(MOST, corrected)));
        });
  }

  /** Returns the tail of a serving task as a share of its target, as last reported. */
  static double load(Run run) {
    return (double) run.gauge() / run.step().tailTargetMillis();
  }

  /** Returns the tail that is expected of serving tasks of an image, as a share of the target. */
  double predict(String serving, Map<String, Double> use) {
    double sum = base(serving);
    for (Map.Entry<String, Double> entry : use.entrySet()) {
      sum += coefficient(serving, entry.getKey()) * entry.getValue();
    }
    return sum;
  }

  /** Returns the rise of the tail for each whole worker that fillers of an image use. */
  double coefficient(String serving, String filler) {
    Map<String, Double> row = coefficients.get(serving);
    return row == null ? FIRST_COEFFICIENT : row.getOrDefault(filler, FIRST_COEFFICIENT);
  }

  private double base(String serving) {
    return bases.getOrDefault(serving, FIRST_BASE);
  }

  /** Returns the share of a worker's processors that fillers use, by image, as last reported. */
  static Map<String, Double> use(Worker worker) {
    Map<String, Double> use = new HashMap<>();
    double capacity = worker.entry().capacity().cpuMillis();
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        use.merge(run.step().image(), run.gauge() / capacity, Double::sum);
      }
    }
    return use;
  }

  /** Returns the share of a worker's processors that its fillers want at their pace, by image. */
  static Map<String, Double> wanted(Worker worker) {
    Map<String, Double> wanted = new HashMap<>();
    double capacity = worker.entry().capacity().cpuMillis();
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        double share = run.step().demand().cpuMillis() * run.pace() / 100.0 / capacity;
        wanted.merge(run.step().image(), share, Double::sum);
      }
    }
    return wanted;
  }

  /** Returns the highest tail that is expected at a worker if one more filler runs there. */
  double predictWith(Worker worker, Step filler) {
    Map<String, Double> wanted = wanted(worker);
    double capacity = worker.entry().capacity().cpuMillis();
    wanted.merge(filler.image(), filler.demand().cpuMillis() / capacity, Double::sum);
    double worst = 0;
    for (Run run : worker.runs()) {
      if (run.step().isServing()) {
        worst = Math.max(worst, predict(run.step().image(), wanted));
      }
    }
    return worst;
  }
}
