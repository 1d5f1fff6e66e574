package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.hemlockpick.cell.WorkerPort.RunId;

/**
 * Simulates how fillers raise the tail latencies of the serving tasks on their worker. Fillers
 * share the CPU that other tasks leave; their progress follows what they get. The figures of a
 * report are means of the half second before it.
 */
final class SimulatedInterference {
  /** Interval at which the workers are simulated, in milliseconds. */
  static final long STEP_MILLIS = 50;

  /** Time from the order until a pace is in force, in milliseconds. */
  private static final long PACING_MILLIS = 100;

  private static final int MEASURED_STEPS = 20;

  /** Standard deviation of the load that one step of a tail latency shows. */
  private static final double LOAD_SCATTER = 0.1;

  private static final int FULL_PERCENT = 100;

  /** Share of its reservation that a serving task uses at its mean load. */
  private static final double MEAN_USE = 0.6;

  /** Tail latency without any load, relative to the target. */
  private static final double BASE_RATIO = 0.2;

  private static final double MAX_LOAD = 0.98;
  private static final double MEAN_LOAD = 0.45;
  private static final double LOAD_SWING = 0.5;
  private static final double PRESS_SWING = 0.15;
  private static final double MAX_HARMLESS_PRESS = 0.2;
  private static final double MIN_HARMFUL_PRESS = 1.5;
  private static final double MAX_HARMFUL_PRESS = 2.9;

  private final SplittableRandom random;
  private final double harmfulShare;

  /** Load that a filler adds to a serving task when it uses a whole worker, by both images. */
  private final Map<String, Double> press = new HashMap<>();

  private final Map<RunId, Figures> figures = new LinkedHashMap<>();

  /** Longest time for which a serving task was over its target on end because of fillers. */
  long longestHarmMillis;

  /** Sum of the times that serving tasks were over their target because of fillers. */
  long harmMillis;

  /** Sum of the times that serving tasks ran. */
  long servingMillis;

  /** CPU that serving tasks and fillers really use now, in millicores, by worker. */
  private final Map<String, Double> servingCpu = new HashMap<>();

  private final Map<String, Double> fillerCpu = new HashMap<>();

  /** Numbers of serving tasks that are over their target now because of fillers, by worker. */
  private final Map<String, Integer> harmed = new HashMap<>();

  /**
   * Creates a simulation.
   *
   * @param harmfulShare share of the pairs of images that are harmful
   */
  SimulatedInterference(long seed, double harmfulShare) {
    this.random = new SplittableRandom(seed);
    this.harmfulShare = harmfulShare;
  }

  /** What is simulated of a run. */
  private final class Figures {
    private final Step step;
    private final double periodMillis = random.nextDouble(14_000, 20_000);
    private final double phase = random.nextDouble(2 * Math.PI);
    private final double workMillis;
    private final List<Double> measured = new ArrayList<>();
    private double doneMillis;
    private long harmedMillis;
    private int pace = FULL_PERCENT;
    private int nextPace = FULL_PERCENT;
    private long nextPaceAt;

    Figures(Step step) {
      this.step = step;
      this.workMillis = step.estimateMillis() * random.nextDouble(0.7, 1.3);
    }

    double wave(long now, double swing) {
      return 1 + swing * Math.sin(2 * Math.PI * now / periodMillis + phase);
    }

    void measure(double value) {
      measured.add(value);
      if (measured.size() > MEASURED_STEPS) {
        measured.remove(0);
      }
    }

    int pace(long now) {
      pace = now >= nextPaceAt ? nextPace : pace;
      return pace;
    }

    double wantedCpu(long now) {
      return step.demand().cpuMillis() * pace(now) / (double) FULL_PERCENT;
    }
  }

  /** Sets how much fillers of an image raise the tails of serving tasks of another. */
  void setPress(String serving, String filler, double value) {
    press.put(serving + "/" + filler, value);
  }

  private Figures figures(RunId run, Step step) {
    return figures.computeIfAbsent(run, any -> new Figures(step));
  }

  private double press(String serving, String filler) {
    return press.computeIfAbsent(serving + "/" + filler, pair -> randomPress());
  }

  private double randomPress() {
    return random.nextDouble() < harmfulShare
        ? random.nextDouble(MIN_HARMFUL_PRESS, MAX_HARMFUL_PRESS)
        : random.nextDouble(MAX_HARMLESS_PRESS);
  }

  /** Returns whether the figures of a step's tasks are simulated. */
  static boolean simulates(Step step) {
    return step.filler() || step.isServing();
  }

  /** Sets the pace of a run after a while. */
  void setPace(RunId run, Step step, int percent, long now) {
    Figures its = figures(run, step);
    its.pace(now);
    its.nextPace = percent;
    its.nextPaceAt = now + PACING_MILLIS;
  }

  /** Returns the share of a filler's work that is done, in percent. */
  int percent(RunId run) {
    Figures its = figures.get(run);
    return its == null ? 0 : (int) Math.min(99, its.doneMillis * 100 / its.workMillis);
  }

  /** Returns the figure of a run in a report. */
  long gauge(RunId run) {
    Figures its = figures.get(run);
    return its == null
        ? 0
        : Math.round(its.measured.stream().mapToDouble(value -> value).average().orElse(0));
  }

  /** Returns the CPU that neither serving tasks nor fillers use, in millicores. */
  double unusedCpu(String worker, long capacity) {
    return capacity - servingCpu(worker) - fillerCpu(worker);
  }

  /** Returns the CPU that the serving tasks of a worker really use, in millicores. */
  double servingCpu(String worker) {
    return servingCpu.getOrDefault(worker, 0.0);
  }

  /** Returns the CPU that the fillers of a worker really use, in millicores. */
  double fillerCpu(String worker) {
    return fillerCpu.getOrDefault(worker, 0.0);
  }

  /** Returns the number of serving tasks that are over their target now because of fillers. */
  int harmed() {
    return harmed.values().stream().mapToInt(count -> count).sum();
  }

  /** Simulates one step of a worker; returns the fillers whose work is done. */
  List<RunId> advance(String worker, long capacity, Map<RunId, Step> runs, long now) {
    double used = 0;
    double wanted = 0;
    for (Map.Entry<RunId, Step> run : runs.entrySet()) {
      Figures its = figures(run.getKey(), run.getValue());
      if (run.getValue().filler()) {
        wanted += its.wantedCpu(now);
      } else if (run.getValue().isServing()) {
        used += run.getValue().demand().cpuMillis() * MEAN_USE * its.wave(now, LOAD_SWING);
      }
    }
    double share = wanted == 0 ? 0 : Math.min(1, Math.max(0, capacity - used) / wanted);
    servingCpu.put(worker, used);
    fillerCpu.put(worker, share * wanted);
    harmed.put(worker, 0);
    List<RunId> done = new ArrayList<>();
    Map<String, Double> usedByImage = new HashMap<>();
    for (Map.Entry<RunId, Step> run : runs.entrySet()) {
      if (run.getValue().filler()) {
        Figures its = figures(run.getKey(), run.getValue());
        double cpu = its.wantedCpu(now) * share;
        its.measure(cpu);
        its.doneMillis += STEP_MILLIS * cpu / run.getValue().demand().cpuMillis();
        double effect = cpu / capacity * its.wave(now, PRESS_SWING);
        usedByImage.merge(run.getValue().image(), effect, Double::sum);
        if (its.doneMillis >= its.workMillis) {
          done.add(run.getKey());
        }
      }
    }
    for (Map.Entry<RunId, Step> run : runs.entrySet()) {
      if (run.getValue().isServing()) {
        serve(worker, run.getValue(), figures(run.getKey(), run.getValue()), usedByImage, now);
      }
    }
    return done;
  }

  private void serve(
      String worker, Step step, Figures its, Map<String, Double> usedByImage, long now) {
    double quiet = MEAN_LOAD * its.wave(now, LOAD_SWING);
    double load = quiet;
    for (Map.Entry<String, Double> filler : usedByImage.entrySet()) {
      load += press(step.image(), filler.getKey()) * filler.getValue();
    }
    double ratio = ratio(load);
    double scatter = LOAD_SCATTER * random.nextGaussian();
    its.measure(ratio(load + scatter) * step.tailTargetMillis());
    servingMillis += STEP_MILLIS;
    boolean isHarmed = ratio > 1;
    its.harmedMillis = isHarmed ? its.harmedMillis + STEP_MILLIS : 0;
    longestHarmMillis = Math.max(longestHarmMillis, its.harmedMillis);
    if (isHarmed) {
      harmMillis += STEP_MILLIS;
      harmed.merge(worker, 1, Integer::sum);
    }
  }

  private static double ratio(double load) {
    return BASE_RATIO / (1 - Math.min(load, MAX_LOAD));
  }
}
