package org.hemlockpick.cell;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Places fillers where, as far as is known, they harm no serving task. Serving tasks of one image
 * share workers, so that every filler finds workers whose serving tasks it does not disturb. All
 * other tasks, which disturb no others, go where most CPU is free.
 */
final class InterferenceAwarePlacement implements PlacementPolicy {
  /**
   * Tail latency of a serving task, relative to its target, from which its worker gets no more
   * fillers.
   */
  private static final double MAX_TAIL_RATIO = 0.8;

  /** The same for a filler that is tried after a long wait. */
  private static final double MAX_TRIAL_TAIL_RATIO = 0.7;

  /** Share of a filler's CPU demand that must be free, in percent. */
  private static final int MIN_FILLER_CPU_PERCENT = 70;

  /** Share of its reservation that a serving task typically uses, in percent. */
  private static final int SERVING_USE_PERCENT = 60;

  /** Penalty for a harm probability of 1, weighed against free CPU. */
  private static final double HARM_PENALTY_MILLICORES = 100_000;

  /** Bonus for a worker of the better kind; exceeds the CPU of any worker. */
  private static final long KIND_BONUS_MILLICORES = 1_000_000;

  /** Bonus for the preferred rack. */
  private static final long RACK_BONUS_MILLICORES = 3 * KIND_BONUS_MILLICORES;

  /** Penalty for a worker where runs have failed. */
  private static final long FAILURE_PENALTY_MILLICORES = 6 * KIND_BONUS_MILLICORES;

  private final InterferenceModel interference;

  InterferenceAwarePlacement(InterferenceModel interference) {
    this.interference = interference;
  }

  @Override
  public @Nullable Worker choose(Task task, Iterable<Worker> candidates) {
    Step step = task.step().step();
    Worker best = null;
    long bestScore = Long.MIN_VALUE;
    for (Worker worker : candidates) {
      if (refusal(task, worker) != null) {
        continue;
      }
      long score = score(task, step, worker);
      if (score > bestScore) {
        best = worker;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * Places a filler where it is least expected to harm. A worker gets one harmful filler at a time,
   * while its serving tasks are far from their targets. One filler of a job without any run finds a
   * worker even if no CPU is left, which fillers share.
   */
  @Override
  public @Nullable Worker chooseForTrial(Task task, Iterable<Worker> candidates) {
    Step step = task.step().step();
    if (!step.filler()) {
      return null;
    }
    long minUnusedCpu = task.job().hasRuns() ? wantedCpu(step) : Long.MIN_VALUE;
    Worker best = null;
    long bestScore = Long.MIN_VALUE;
    for (Worker worker : candidates) {
      long score = kindScore(step, worker);
      if (score > bestScore && unusedCpu(worker) >= minUnusedCpu && mayTry(step, worker)) {
        best = worker;
        bestScore = score;
      }
    }
    return best;
  }

  private boolean mayTry(Step step, Worker worker) {
    boolean isHarmful = interference.isHarmful(worker, step.image());
    return InterferenceModel.worstTailRatio(worker) < MAX_TRIAL_TAIL_RATIO
        && !(isHarmful && interference.countHarmful(worker) > 0);
  }

  /** Returns the unused CPU with which a filler may be placed, in millicores. */
  private static long wantedCpu(Step step) {
    return step.demand().cpuMillis() * MIN_FILLER_CPU_PERCENT / 100;
  }

  @Override
  public @Nullable IneligibleReason refusal(Task task, Worker worker) {
    Step step = task.step().step();
    if (!step.filler()) {
      return null;
    }
    if (unusedCpu(worker) < wantedCpu(step)) {
      return IneligibleReason.TOO_LITTLE_UNUSED_CPU;
    }
    if (InterferenceModel.worstTailRatio(worker) >= MAX_TAIL_RATIO) {
      return IneligibleReason.HIGH_TAIL_LATENCY;
    }
    return interference.isHarmful(worker, step.image()) ? IneligibleReason.HARM_EXPECTED : null;
  }

  /** Returns the CPU that one more filler is likely to get, in millicores. */
  private static long unusedCpu(Worker worker) {
    return worker.freeCpu() + worker.servingCpu() * (100 - SERVING_USE_PERCENT) / 100;
  }

  private long score(Task task, Step step, Worker worker) {
    long score = kindScore(step, worker);
    String rack = step.preferredRack();
    if (rack != null && worker.entry().labels().contains(rack)) {
      score += RACK_BONUS_MILLICORES;
    }
    boolean failedHere = worker.id().equals(task.avoidedWorker());
    if (failedHere || (worker.health().hasLastRunFailed() && task.failures() > 0)) {
      score -= FAILURE_PENALTY_MILLICORES;
    }
    return score;
  }

  private long kindScore(Step step, Worker worker) {
    if (step.isServing()) {
      return servingScore(step, worker);
    }
    if (step.filler()) {
      double risk = interference.maxHarmProbability(worker, step.image());
      return unusedCpu(worker) - (long) (risk * HARM_PENALTY_MILLICORES);
    }
    return worker.freeCpu();
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

  /**
   * Returns the CPU demand of the fillers that would have to leave, plus a part of that of all
   * others, in millicores.
   */
  private long harmfulCpu(Step step, Worker worker) {
    long sum = 0;
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        long cpu = run.step().demand().cpuMillis();
        double harm = interference.harmProbability(step.image(), run.step().image());
        sum += harm >= InterferenceModel.HARMFUL_PROBABILITY ? cpu : (long) (harm * cpu);
      }
    }
    return sum;
  }
}
