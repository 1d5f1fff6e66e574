package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.proto.HarmEntry;
import org.hemlockpick.proto.LearnedRecord;
import org.jspecify.annotations.Nullable;

/**
 * Learns which fillers harm which serving tasks, by the images of both.
 *
 * <p>A filler either harms the serving tasks of an image or hardly matters to them; harm shows as a
 * tail latency that grows to several times its target while the load of the serving task is high.
 * For each pair the probability of harm is kept. A tail that grows past its target raises it for
 * the fillers beside it, more for those that were suspect already; calm reports lower it.
 */
final class Interference {
  /** Probability from which a pair counts as harmful. */
  static final double HARMFUL = 0.4;

  private static final double FIRST = 0.15;
  private static final double LEAST = 0.01;
  private static final double MOST = 0.99;

  /** Probability that a harmful filler shows in one report, as the load is not always high. */
  private static final double SHOWS = 0.6;

  /** Probability that a tail grows past its target without any harmful filler. */
  private static final double OWN_SWING = 0.04;

  /** The same for a tail of twice its target. */
  private static final double OWN_LARGE_SWING = 0.004;

  private static final double LARGE = 2;

  /** Growth since the last report from which a tail counts as growing. */
  private static final double GROWTH = 1.05;

  /** Tail below which a report is calm, as a share of the target. */
  private static final double CALM = 0.6;

  /** Factor of the odds of harm for a calm report. */
  private static final double CALM_FACTOR = 0.93;

  /** Time in which the odds of harm halve unless new harm shows, in milliseconds. */
  private static final long HALF_LIFE_MILLIS = 4_000;

  /** Share of a worker's processors that fillers of an image must use to be seen in a report. */
  private static final double SEEN_USE = 0.02;

  /** Least difference from the first guess that is stored. */
  private static final double WORTH_STORING = 0.02;

  private final Map<String, Map<String, Double>> harm = new HashMap<>();

  /** Returns the probability that fillers of an image harm serving tasks of another. */
  double harm(String serving, String filler) {
    Map<String, Double> row = harm.get(serving);
    return row == null ? FIRST : row.getOrDefault(filler, FIRST);
  }

  /** Returns the highest probability that a filler harms a serving task of a worker. */
  double risk(Worker worker, String filler) {
    double risk = 0;
    for (Run run : worker.runs()) {
      if (run.step().isServing()) {
        risk = Math.max(risk, harm(run.step().image(), filler));
      }
    }
    return risk;
  }

  /**
   * Lets suspicion fade, so that a pair that was blamed wrongly, or whose harm has changed, is
   * tried again some time after.
   */
  void fade(long elapsedMillis) {
    double kept = Math.pow(0.5, (double) elapsedMillis / HALF_LIFE_MILLIS);
    for (Map<String, Double> row : harm.values()) {
      row.replaceAll((filler, value) -> value <= FIRST ? value : faded(value, kept));
    }
  }

  private static double faded(double value, double kept) {
    double odds = value / (1 - value) * kept;
    return Math.max(FIRST, odds / (1 + odds));
  }

  /** Learns from a worker that has just reported. */
  void learn(Worker worker) {
    Set<String> fillers = seen(worker);
    if (fillers.isEmpty()) {
      return;
    }
    for (Run run : worker.runs()) {
      if (!run.step().isServing() || run.gauge() <= 0) {
        continue;
      }
      if (isGrowing(run) && load(run) >= 1) {
        blame(run, fillers);
      } else if (load(run) < CALM) {
        fillers.forEach(filler -> calm(run.step().image(), filler));
      }
    }
  }

  /** Returns the tail of a serving task as a share of its target, as last reported. */
  static double load(Run run) {
    return (double) run.gauge() / run.step().tailTargetMillis();
  }

  /** Returns the highest tail of a serving task on a worker, as a share of its target. */
  static double worstLoad(Worker worker) {
    Run worst = worst(worker);
    return worst == null ? 0 : load(worst);
  }

  /** Returns the serving task on a worker whose tail is highest; null if there is none. */
  static @Nullable Run worst(Worker worker) {
    Run worst = null;
    for (Run run : worker.runs()) {
      if (run.step().isServing() && (worst == null || load(run) > load(worst))) {
        worst = run;
      }
    }
    return worst;
  }

  /** Tells whether the tail of a serving task has grown since the report before. */
  static boolean isGrowing(Run run) {
    return run.gauge() > run.gaugeBefore() * GROWTH;
  }

  /** Spreads the blame by the rule of Bayes, each filler being harmful independently of others. */
  private void blame(Run run, Set<String> fillers) {
    String serving = run.step().image();
    double own = load(run) >= LARGE ? OWN_LARGE_SWING : OWN_SWING;
    double quiet = 1 - own;
    for (String filler : fillers) {
      quiet *= 1 - SHOWS * harm(serving, filler);
    }
    Map<String, Double> posterior = new HashMap<>();
    for (String filler : fillers) {
      double before = harm(serving, filler);
      double quietIfHarmful = quiet / (1 - SHOWS * before) * (1 - SHOWS);
      posterior.put(filler, before * (1 - quietIfHarmful) / (1 - quiet));
    }
    posterior.forEach((filler, value) -> set(serving, filler, value));
  }

  private void calm(String serving, String filler) {
    double before = harm(serving, filler);
    double odds = before / (1 - before) * CALM_FACTOR;
    set(serving, filler, odds / (1 + odds));
  }

  private void set(String serving, String filler, double value) {
    harm.computeIfAbsent(serving, image -> new HashMap<>())
        .put(filler, Math.max(LEAST, Math.min(MOST, value)));
  }

  /** Adds what differs from the first guess to a record, at most a number of entries. */
  void store(LearnedRecord.Builder record, int most) {
    harm.forEach(
        (serving, row) ->
            row.forEach(
                (filler, value) -> {
                  if (Math.abs(value - FIRST) >= WORTH_STORING && record.getHarmCount() < most) {
                    record.addHarm(
                        HarmEntry.newBuilder()
                            .setServingImage(serving)
                            .setFillerImage(filler)
                            .setHarm(value));
                  }
                }));
  }

  /** Takes over what an earlier holder learned. */
  void restore(LearnedRecord record) {
    for (HarmEntry entry : record.getHarmList()) {
      set(entry.getServingImage(), entry.getFillerImage(), entry.getHarm());
    }
  }

  /**
   * Returns the images of the fillers that use enough of a worker, as last reported, to be seen.
   */
  private static Set<String> seen(Worker worker) {
    Map<String, Double> use = new HashMap<>();
    double capacity = worker.entry().capacity().cpuMillis();
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        use.merge(run.step().image(), run.gauge() / capacity, Double::sum);
      }
    }
    use.values().removeIf(share -> share < SEEN_USE);
    return use.keySet();
  }
}
