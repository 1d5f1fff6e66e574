package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;
import org.hemlockpick.proto.HarmEntry;
import org.hemlockpick.proto.LearnedRecord;

/**
 * Learns how much fillers raise the tail latencies of serving tasks, by the images of both.
 *
 * <p>A serving task is taken for a queue, whose tail latency is that without load, divided by the
 * share of time in which it is idle. Its load is the sum of its own and of what the fillers on its
 * worker add: for each image, the share of the worker's CPU that they use, times the pressure of
 * that image on the image of the serving task. Own loads and pressures are estimated together. Each
 * report corrects them by the difference from the load that was expected, most of all those that
 * are least certain.
 */
final class InterferenceModel {
  /** Pressure from which a pair of images counts as harmful. */
  static final double HARMFUL_PRESSURE = 0.5;

  /** Tail latency without load, relative to the target. */
  private static final double IDLE_TAIL_RATIO = 0.2;

  /** Load beyond which a tail latency says little. */
  private static final double MAX_LOAD = 0.98;

  /** Pressure that is assumed at least of a pair that counts as harmful. */
  private static final double LEAST_HARM = 2;

  /** Maximum own load of a serving task. */
  private static final double MAX_OWN_LOAD = 0.75;

  private static final double PRIOR_PRESSURE = 0.25;
  private static final double PRIOR_VARIANCE = 1;

  /** Variance from which hardly anything is known of a pressure. */
  private static final double UNKNOWN_VARIANCE = 0.5;

  private static final double MAX_PRESSURE = 4;

  /** Growth of the variance of a pressure per second. */
  private static final double PRESSURE_DRIFT = 0.03;

  /** Time in which a pressure that is not measured approaches the prior by half. */
  private static final long HALF_LIFE_MILLIS = 15_000;

  /** Growth of the variance of a serving task's own load per report. */
  private static final double LOAD_DRIFT = 0.0008;

  /** Fall since the last report from which a tail latency still shows fillers that have gone. */
  private static final double FALL_FACTOR = 0.85;

  private static final double MEASUREMENT_VARIANCE = 0.0015;

  /** Minimum difference from the prior for an entry to be stored. */
  private static final double MIN_STORED_DIFFERENCE = 0.02;

  private final Map<String, Map<String, Estimate>> pressures = new HashMap<>();

  /**
   * Returns the load that fillers of an image add to a serving task of another, per share of its
   * worker's CPU that they use.
   */
  double pressure(String serving, String filler) {
    Map<String, Estimate> row = pressures.get(serving);
    Estimate estimate = row == null ? null : row.get(filler);
    double mean = estimate == null ? PRIOR_PRESSURE : estimate.mean();
    return mean < HARMFUL_PRESSURE ? mean : Math.max(LEAST_HARM, mean);
  }

  /** Returns whether hardly anything is known of the pressure on a serving task of a worker. */
  boolean isUnknown(Worker worker, String filler) {
    for (String serving : worker.servingImages()) {
      Map<String, Estimate> row = pressures.get(serving);
      Estimate estimate = row == null ? null : row.get(filler);
      if (estimate == null || estimate.variance() >= UNKNOWN_VARIANCE) {
        return true;
      }
    }
    return false;
  }

  /** Returns the highest pressure of a filler on a serving task of a worker. */
  double maxPressure(Worker worker, String filler) {
    double max = 0;
    for (String serving : worker.servingImages()) {
      max = Math.max(max, pressure(serving, filler));
    }
    return max;
  }

  /** Returns the load at which the tail latency has a ratio to its target. */
  static double loadAt(double tailRatio) {
    return Math.max(0, 1 - IDLE_TAIL_RATIO / tailRatio);
  }

  /** Lets the pressures approach the prior, as they may have changed since they were measured. */
  void decay(long elapsedMillis) {
    double share = 1 - Math.pow(0.5, (double) elapsedMillis / HALF_LIFE_MILLIS);
    for (Map<String, Estimate> row : pressures.values()) {
      for (Estimate pressure : row.values()) {
        pressure.drift(PRESSURE_DRIFT * elapsedMillis / 1_000, PRIOR_VARIANCE);
        if (pressure.mean() > PRIOR_PRESSURE) {
          pressure.approach(PRIOR_PRESSURE, share);
        }
      }
    }
  }

  /** Updates the estimates from a worker that has just reported. */
  void learn(Worker worker) {
    Map<String, Double> shares = usedShares(worker);
    for (Run run : worker.runs()) {
      if (run.step().isServing() && run.gauge() > 0) {
        learn(run, shares);
      }
    }
  }

  private void learn(Run run, Map<String, Double> shares) {
    String serving = run.step().image();
    Estimate own = run.ownLoad();
    own.drift(LOAD_DRIFT, Run.OWN_LOAD_VARIANCE);
    double expected = own.mean();
    double variance = MEASUREMENT_VARIANCE + own.variance();
    for (Map.Entry<String, Double> filler : shares.entrySet()) {
      Estimate pressure = estimate(serving, filler.getKey());
      expected += filler.getValue() * pressure.mean();
      variance += filler.getValue() * filler.getValue() * pressure.variance();
    }
    double load = Math.min(MAX_LOAD, loadAt(tailRatio(run)));
    double error = load - expected;
    boolean isFalling = run.gauge() < run.previousGauge() * FALL_FACTOR;
    if (error < 0 ? load >= MAX_LOAD : isFalling) {
      // The tail is beyond what can be measured, or still shows fillers that have gone.
      return;
    }
    own.correct(error, 1, variance, MAX_OWN_LOAD);
    for (Map.Entry<String, Double> filler : shares.entrySet()) {
      estimate(serving, filler.getKey()).correct(error, filler.getValue(), variance, MAX_PRESSURE);
    }
  }

  private Estimate estimate(String serving, String filler) {
    return pressures
        .computeIfAbsent(serving, image -> new HashMap<>())
        .computeIfAbsent(filler, image -> new Estimate(PRIOR_PRESSURE, PRIOR_VARIANCE));
  }

  /** Returns the shares of a worker's CPU that its fillers used in its last report, by image. */
  private static Map<String, Double> usedShares(Worker worker) {
    Map<String, Double> shares = new HashMap<>();
    double capacity = worker.entry().capacity().cpuMillis();
    for (Run run : worker.runs()) {
      if (run.step().filler() && run.gauge() > 0) {
        shares.merge(run.step().image(), run.gauge() / capacity, Double::sum);
      }
    }
    return shares;
  }

  /** Returns the last reported tail latency of a serving task, relative to its target. */
  static double tailRatio(Run run) {
    return (double) run.gauge() / run.step().tailTargetMillis();
  }

  /** Returns the highest tail latency of a serving task on a worker, relative to its target. */
  static double worstTailRatio(Worker worker) {
    Run worst = worker.worstServingRun();
    return worst == null ? 0 : tailRatio(worst);
  }

  /** Adds the entries that differ from the prior to a record, up to a maximum number. */
  void store(LearnedRecord.Builder record, int maxEntries) {
    pressures.forEach(
        (serving, row) ->
            row.forEach(
                (filler, estimate) -> {
                  if (Math.abs(estimate.mean() - PRIOR_PRESSURE) >= MIN_STORED_DIFFERENCE
                      && record.getHarmCount() < maxEntries) {
                    record.addHarm(
                        HarmEntry.newBuilder()
                            .setServingImage(serving)
                            .setFillerImage(filler)
                            .setHarm(estimate.mean()));
                  }
                }));
  }

  /** Restores what an earlier holder learned; the first reports may correct it by much. */
  void restore(LearnedRecord record) {
    for (HarmEntry entry : record.getHarmList()) {
      double mean = Math.max(0, Math.min(MAX_PRESSURE, entry.getHarm()));
      pressures
          .computeIfAbsent(entry.getServingImage(), image -> new HashMap<>())
          .put(entry.getFillerImage(), new Estimate(mean, PRIOR_VARIANCE));
    }
  }
}
