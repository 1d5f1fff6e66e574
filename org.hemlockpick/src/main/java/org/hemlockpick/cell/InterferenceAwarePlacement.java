package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Places fillers where the loads of the serving tasks stay low with them, as far as can be
 * forecast, and the most CPU is unused. A filler that no worker accepts is placed after a while
 * where it can be borne at a reduced pace, and in the end where it adds the least load, one of its
 * image at a time: a refusal rests on a belief that only a run can correct. Serving tasks of one
 * image share workers, so that every filler finds workers whose serving tasks it does not disturb.
 * All other tasks, which disturb no others, go where most CPU is free.
 */
final class InterferenceAwarePlacement implements PlacementPolicy {
  /**
   * Tail latency of a serving task, relative to its target, from which its worker gets no more
   * fillers.
   */
  private static final double MAX_TAIL_RATIO = 0.8;

  /** The same for fillers that are tried after a long wait. */
  private static final double MAX_TRIAL_TAIL_RATIO = 1;

  /** Forecast load of a serving task up to which its worker gets more fillers. */
  private static final double MAX_LOAD = 0.68;

  /** The same for a filler that is not held to be harmful. */
  private static final double MAX_HARMLESS_LOAD = 0.75;

  /** Forecast load from which fillers of an image are tried one at a time. */
  private static final double MAX_TRIAL_LOAD = 0.74;

  /** Load that a filler may add to any serving task. */
  private static final double NEGLIGIBLE_LOAD = 0.015;

  /** Share of a filler's CPU demand at its pace that must be unused, in percent. */
  private static final int MIN_FILLER_CPU_PERCENT = 70;

  private static final int FULL_PERCENT = 100;

  /** Time after which a filler is placed where it can be borne at a reduced pace. */
  private static final long SLOW_AFTER_MILLIS = 700;

  private static final int SLOW_PERCENT = 25;

  /** Time after which a filler is placed where it adds the least load. */
  private static final long TRIAL_AFTER_MILLIS = 1_200;

  private static final int TRIAL_PERCENT = 10;

  /** Time after which both holds also for a filler beside which others of its step run. */
  private static final long BEHIND_OTHERS_MILLIS = 1_500;

  /** Minimum time between two such trials of an image, so that the reports between them count. */
  private static final long TRIAL_INTERVAL_MILLIS = 300;

  /** Penalty for a load of 1 that is added to a serving task, weighed against unused CPU. */
  private static final double LOAD_PENALTY_MILLICORES = 200_000;

  /** Bonus for a worker of the better kind; exceeds the CPU of any worker. */
  private static final long KIND_BONUS_MILLICORES = 1_000_000;

  /** Bonus for the preferred rack. */
  private static final long RACK_BONUS_MILLICORES = 3 * KIND_BONUS_MILLICORES;

  /** Penalty for a worker where runs have failed. */
  private static final long FAILURE_PENALTY_MILLICORES = 6 * KIND_BONUS_MILLICORES;

  private final InterferenceModel interference;
  private final LoopClock clock;

  /** Times of the last trials, by image. */
  private final Map<String, Long> trials = new HashMap<>();

  InterferenceAwarePlacement(InterferenceModel interference, LoopClock clock) {
    this.interference = interference;
    this.clock = clock;
  }

  @Override
  public @Nullable Worker choose(Task task, Iterable<Worker> candidates) {
    if (task.step().step().filler()) {
      return chooseForFiller(task, candidates);
    }
    Worker best = null;
    long bestScore = Long.MIN_VALUE;
    for (Worker worker : candidates) {
      long score = score(task, worker, otherScore(task.step().step(), worker));
      if (score > bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    return best;
  }

  private @Nullable Worker chooseForFiller(Task task, Iterable<Worker> candidates) {
    Worker worker = chooseAtPace(task, candidates, FULL_PERCENT);
    long now = clock.monotonicMillis();
    long waited = task.run() == null ? task.waitedMillis(now) : 0;
    if (worker != null || waited < SLOW_AFTER_MILLIS) {
      return worker;
    }
    if (hasRuns(task.step()) && waited < BEHIND_OTHERS_MILLIS) {
      return null;
    }
    List<Worker> reported = new ArrayList<>();
    candidates.forEach(reported::add);
    reported.removeIf(InterferenceAwarePlacement::hasNewFiller);
    worker = chooseAtPace(task, reported, SLOW_PERCENT);
    return worker == null && waited >= TRIAL_AFTER_MILLIS
        ? chooseForTrial(task, reported, now)
        : worker;
  }

  private static boolean hasRuns(StepRun step) {
    return step.tasks().stream().anyMatch(task -> task.run() != null);
  }

  /** Returns whether a worker has a filler whose effect no report shows yet. */
  private static boolean hasNewFiller(Worker worker) {
    return worker.runs().stream()
        .anyMatch(run -> run.step().filler() && run.gauge() == 0 && run.pace() > 0);
  }

  private @Nullable Worker chooseAtPace(Task task, Iterable<Worker> candidates, int pacePercent) {
    Worker best = null;
    long bestScore = Long.MIN_VALUE;
    for (Worker worker : candidates) {
      Placed placed = placed(task.step().step(), worker, pacePercent);
      if (placed.refusal() == null) {
        double penalty = placed.addedLoad() * LOAD_PENALTY_MILLICORES;
        long score = score(task, worker, placed.unusedCpu() - (long) penalty);
        if (score > bestScore) {
          best = worker;
          bestScore = score;
        }
      }
    }
    return best;
  }

  /** Returns the worker where a filler adds the least load, unless its image is being tried. */
  private @Nullable Worker chooseForTrial(Task task, Iterable<Worker> candidates, long now) {
    Step step = task.step().step();
    Worker best = null;
    double least = Double.MAX_VALUE;
    for (Worker worker : candidates) {
      Placed placed = placed(step, worker, TRIAL_PERCENT);
      if (placed.load() < least
          && InterferenceModel.worstTailRatio(worker) < MAX_TRIAL_TAIL_RATIO) {
        best = worker;
        least = placed.load();
      }
    }
    if (best == null || least < MAX_TRIAL_LOAD) {
      return best;
    }
    Long last = trials.get(step.image());
    if (last != null && now < last + TRIAL_INTERVAL_MILLIS) {
      return null;
    }
    trials.put(step.image(), now);
    return best;
  }

  @Override
  public @Nullable IneligibleReason refusal(Task task, Worker worker) {
    Step step = task.step().step();
    return step.filler() ? placed(step, worker, FULL_PERCENT).refusal() : null;
  }

  /**
   * What is expected of a filler at a worker.
   *
   * @param load highest load of a serving task beside it
   * @param addedLoad what of this it adds
   * @param unusedCpu CPU that it finds unused, in millicores
   * @param refusal why it is not placed there; null if it may be
   */
  private record Placed(
      double load, double addedLoad, long unusedCpu, @Nullable IneligibleReason refusal) {}

  private Placed placed(Step step, Worker worker, int pacePercent) {
    LoadForecast forecast = LoadForecast.withFillers(interference, worker);
    long unused = forecast.unusedCpu();
    double before = forecast.worst();
    forecast.add(step, pacePercent);
    double load = forecast.worst();
    double added = load - before;
    IneligibleReason refusal = null;
    long wanted = step.demand().cpuMillis() * pacePercent / FULL_PERCENT;
    if (unused < wanted * MIN_FILLER_CPU_PERCENT / FULL_PERCENT) {
      refusal = IneligibleReason.TOO_LITTLE_UNUSED_CPU;
    } else if (InterferenceModel.worstTailRatio(worker) >= MAX_TAIL_RATIO) {
      refusal = IneligibleReason.HIGH_TAIL_LATENCY;
    } else if ((load >= maxLoad(step, worker) && added >= NEGLIGIBLE_LOAD)
        || (hasNewFiller(worker) && interference.isUnknown(worker, step.image()))) {
      refusal = IneligibleReason.HARM_EXPECTED;
    }
    return new Placed(load, added, unused, refusal);
  }

  private double maxLoad(Step step, Worker worker) {
    return interference.maxPressure(worker, step.image()) < InterferenceModel.HARMFUL_PRESSURE
        ? MAX_HARMLESS_LOAD
        : MAX_LOAD;
  }

  private static long score(Task task, Worker worker, long kindScore) {
    long score = kindScore;
    String rack = task.step().step().preferredRack();
    if (rack != null && worker.entry().labels().contains(rack)) {
      score += RACK_BONUS_MILLICORES;
    }
    boolean failedHere = worker.id().equals(task.avoidedWorker());
    if (failedHere || (worker.health().hasLastRunFailed() && task.failures() > 0)) {
      score -= FAILURE_PENALTY_MILLICORES;
    }
    return score;
  }

  private long otherScore(Step step, Worker worker) {
    return step.isServing() ? servingScore(step, worker) : worker.freeCpu();
  }

  /**
   * Prefers the fullest worker with tasks of the same image, then one without serving tasks and
   * with few fillers.
   */
  private long servingScore(Step step, Worker worker) {
    Set<String> images = worker.servingImages();
    boolean hasSameImage = images.contains(step.image());
    boolean hasOtherImage = images.size() > (hasSameImage ? 1 : 0);
    if (hasSameImage) {
      return (hasOtherImage ? KIND_BONUS_MILLICORES : 2 * KIND_BONUS_MILLICORES) - worker.freeCpu();
    }
    return -harmfulCpu(step, worker) - (hasOtherImage ? KIND_BONUS_MILLICORES : 0);
  }

  /** Returns the CPU demand of the fillers, each by its pressure, in millicores. */
  private long harmfulCpu(Step step, Worker worker) {
    long sum = 0;
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        long cpu = run.step().demand().cpuMillis();
        double harm = interference.pressure(step.image(), run.step().image());
        sum += (long) (Math.min(1, harm / InterferenceModel.HARMFUL_PRESSURE) * cpu);
      }
    }
    return sum;
  }
}
