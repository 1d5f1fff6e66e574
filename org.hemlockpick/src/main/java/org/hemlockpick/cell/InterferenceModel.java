package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.proto.HarmEntry;
import org.hemlockpick.proto.LearnedRecord;

/**
 * Learns which fillers harm which serving tasks, by the images of both.
 *
 * <p>A filler either harms the serving tasks of an image or hardly affects them; harm shows as a
 * tail latency that grows to several times its target while the load of the serving task is high.
 * The model keeps the probability of harm for each pair of images. A tail latency that grows past
 * its target raises it for the fillers on the same worker, more for those already suspected;
 * reports of a low tail latency lower it.
 */
final class InterferenceModel {
  /** Probability from which a pair counts as harmful. */
  static final double HARMFUL_PROBABILITY = 0.4;

  private static final double PRIOR = 0.15;
  private static final double MIN_PROBABILITY = 0.01;
  private static final double MAX_PROBABILITY = 0.99;

  /**
   * Probability that the harm of a harmful filler shows in one report, as the load is not always
   * high.
   */
  private static final double DETECTION_PROBABILITY = 0.6;

  /** Probability that a tail latency grows past its target without any harmful filler. */
  private static final double FALSE_ALARM_PROBABILITY = 0.04;

  /** The same for a tail latency of twice its target. */
  private static final double LARGE_FALSE_ALARM_PROBABILITY = 0.004;

  private static final double LARGE_TAIL_RATIO = 2;

  /** Growth since the last report from which a tail latency counts as growing. */
  private static final double GROWTH_FACTOR = 1.05;

  /** Tail latency below which a report lowers the probability of harm, relative to the target. */
  private static final double CALM_TAIL_RATIO = 0.6;

  /** Factor applied to the odds of harm for a report of a low tail latency. */
  private static final double CALM_ODDS_FACTOR = 0.93;

  /** Time in which the odds of harm halve unless new harm shows, in milliseconds. */
  private static final long HALF_LIFE_MILLIS = 4_000;

  /**
   * Minimum share of a worker's CPU that the fillers of an image use to be considered in a report.
   */
  private static final double MIN_VISIBLE_CPU_SHARE = 0.02;

  /** Minimum difference from the prior for an entry to be stored. */
  private static final double MIN_STORED_DIFFERENCE = 0.02;

  private final Map<String, Map<String, Double>> harmByServingImage = new HashMap<>();

  /** Returns the probability that fillers of an image harm serving tasks of another. */
  double harmProbability(String serving, String filler) {
    Map<String, Double> row = harmByServingImage.get(serving);
    return row == null ? PRIOR : row.getOrDefault(filler, PRIOR);
  }

  /** Returns the highest probability that a filler harms a serving task of a worker. */
  double maxHarmProbability(Worker worker, String filler) {
    double max = 0;
    for (String serving : worker.servingImages()) {
      max = Math.max(max, harmProbability(serving, filler));
    }
    return max;
  }

  /** Returns whether a filler is believed to harm a serving task of a worker. */
  boolean isHarmful(Worker worker, String filler) {
    return maxHarmProbability(worker, filler) >= HARMFUL_PROBABILITY;
  }

  /** Returns how many fillers of a worker are believed to harm a serving task there. */
  int countHarmful(Worker worker) {
    int count = 0;
    for (Run run : worker.runs()) {
      count += run.step().filler() && isHarmful(worker, run.step().image()) ? 1 : 0;
    }
    return count;
  }

  /**
   * Decays the probabilities of harm, so that a pair that was suspected wrongly, or whose harm has
   * changed, is tried again after some time.
   */
  void decay(long elapsedMillis) {
    double factor = Math.pow(0.5, (double) elapsedMillis / HALF_LIFE_MILLIS);
    for (Map<String, Double> row : harmByServingImage.values()) {
      row.replaceAll((filler, value) -> value <= PRIOR ? value : decayed(value, factor));
    }
  }

  private static double decayed(double value, double factor) {
    double odds = value / (1 - value) * factor;
    return Math.max(PRIOR, odds / (1 + odds));
  }

  /** Updates the probabilities from a worker that has just reported. */
  void learn(Worker worker) {
    Set<String> fillers = visibleFillers(worker);
    if (fillers.isEmpty()) {
      return;
    }
    for (Run run : worker.runs()) {
      if (!run.step().isServing() || run.gauge() <= 0) {
        continue;
      }
      if (isTailGrowing(run) && tailRatio(run) >= 1) {
        raise(run, fillers);
      } else if (tailRatio(run) < CALM_TAIL_RATIO) {
        fillers.forEach(filler -> lower(run.step().image(), filler));
      }
    }
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

  /** Returns whether the tail latency of a serving task has grown since the previous report. */
  static boolean isTailGrowing(Run run) {
    return run.gauge() > run.previousGauge() * GROWTH_FACTOR;
  }

  /**
   * Updates the probabilities by Bayes' rule, assuming that each filler is harmful independently of
   * the others.
   */
  private void raise(Run run, Set<String> fillers) {
    String serving = run.step().image();
    double falseAlarm =
        tailRatio(run) >= LARGE_TAIL_RATIO
            ? LARGE_FALSE_ALARM_PROBABILITY
            : FALSE_ALARM_PROBABILITY;
    double noGrowth = 1 - falseAlarm;
    for (String filler : fillers) {
      noGrowth *= 1 - DETECTION_PROBABILITY * harmProbability(serving, filler);
    }
    Map<String, Double> posterior = new HashMap<>();
    for (String filler : fillers) {
      double prior = harmProbability(serving, filler);
      double noGrowthIfHarmful =
          noGrowth / (1 - DETECTION_PROBABILITY * prior) * (1 - DETECTION_PROBABILITY);
      posterior.put(filler, prior * (1 - noGrowthIfHarmful) / (1 - noGrowth));
    }
    posterior.forEach((filler, value) -> set(serving, filler, value));
  }

  private void lower(String serving, String filler) {
    double prior = harmProbability(serving, filler);
    double odds = prior / (1 - prior) * CALM_ODDS_FACTOR;
    set(serving, filler, odds / (1 + odds));
  }

  private void set(String serving, String filler, double value) {
    harmByServingImage
        .computeIfAbsent(serving, image -> new HashMap<>())
        .put(filler, Math.max(MIN_PROBABILITY, Math.min(MAX_PROBABILITY, value)));
  }

  /** Adds the entries that differ from the prior to a record, up to a maximum number. */
  void store(LearnedRecord.Builder record, int maxEntries) {
    harmByServingImage.forEach(
        (serving, row) ->
            row.forEach(
                (filler, value) -> {
                  if (Math.abs(value - PRIOR) >= MIN_STORED_DIFFERENCE
                      && record.getHarmCount() < maxEntries) {
                    record.addHarm(
                        HarmEntry.newBuilder()
                            .setServingImage(serving)
                            .setFillerImage(filler)
                            .setHarm(value));
                  }
                }));
  }

  /** Restores what an earlier holder learned. */
  void restore(LearnedRecord record) {
    for (HarmEntry entry : record.getHarmList()) {
      set(entry.getServingImage(), entry.getFillerImage(), entry.getHarm());
    }
  }

  /**
   * Returns the images of the fillers whose last reported CPU usage is high enough to be
   * considered.
   */
  private static Set<String> visibleFillers(Worker worker) {
    Map<String, Double> cpuShares = new HashMap<>();
    double capacity = worker.entry().capacity().cpuMillis();
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        cpuShares.merge(run.step().image(), run.gauge() / capacity, Double::sum);
      }
    }
    cpuShares.values().removeIf(share -> share < MIN_VISIBLE_CPU_SHARE);
    return cpuShares.keySet();
  }
}
