package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/**
 * Keeps fillers and serving tasks apart as far as there is room. Serving tasks fill up the workers
 * that have some already. Fillers go to the other workers first, those that disturb most before
 * all; beside serving tasks they get no more than the worker's allowance. All other tasks, which
 * disturb nobody, take the room that is left beside serving tasks first.
 */
final class SeparatingPlacement implements PlacementPolicy {
  /** Share of the processor time that a filler wants which must be free, in percent. */
  private static final int FILLER_SHARE_PERCENT = 70;

  /** Share of its reservation that a serving task uses at most as a rule, in percent. */
  private static final int SERVING_USE_PERCENT = 65;

  /** Weight up to which a filler counts as harmless. */
  private static final double LIGHT = 0.9;

  /** Advantage of a worker of the better kind, in millicores: more than any worker has. */
  private static final long KIND_BONUS = 1_000_000;

  /** Advantage of the preferred rack. */
  private static final long RACK_BONUS = 2 * KIND_BONUS;

  /** Disadvantage of a worker at which runs have failed. */
  private static final long DOUBT_PENALTY = 4 * KIND_BONUS;

  private final FillerWeights weights;

  SeparatingPlacement(FillerWeights weights) {
    this.weights = weights;
  }

  @Override
  public @Nullable Worker choose(Task task, Iterable<Worker> candidates) {
    Step step = task.step().step();
    Worker best = null;
    long bestScore = Long.MIN_VALUE;
    for (Worker worker : candidates) {
      if (step.filler() && !takesFiller(step, worker)) {
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

  private boolean takesFiller(Step step, Worker worker) {
    long wanted = step.demand().cpuMillis() * FILLER_SHARE_PERCENT / 100;
    if (unusedCpu(worker) < wanted) {
      return false;
    }
    return !worker.hasServing() || weights.weigh(step) <= allowanceLeft(worker);
  }

  /** Returns the processor time that is likely left to one more filler. */
  private static long unusedCpu(Worker worker) {
    return worker.freeCpu() + worker.servingCpu() * (100 - SERVING_USE_PERCENT) / 100;
  }

  private long allowanceLeft(Worker worker) {
    long left = worker.fillerAllowance();
    for (Run run : worker.runs()) {
      if (run.step().filler()) {
        left -= weights.weigh(run.step());
      }
    }
    return left;
  }

  private long score(Task task, Step step, Worker worker) {
    long score = kindScore(step, worker);
    String rack = step.preferredRack();
    if (rack != null && worker.entry().labels().contains(rack)) {
      score += RACK_BONUS;
    }
    boolean failedHere = worker.id().equals(task.failedAt());
    if (failedHere || (worker.health().isDoubtful() && task.failures() > 0)) {
      score -= DOUBT_PENALTY;
    }
    return score;
  }

  private long kindScore(Step step, Worker worker) {
    if (step.isServing()) {
      return servingScore(worker);
    }
    if (!step.filler()) {
      return worker.freeCpu() + (worker.hasServing() ? KIND_BONUS : 0);
    }
    boolean light = weights.weight(step.image()) <= LIGHT;
    long score = worker.hasServing() ? allowanceLeft(worker) : unusedCpu(worker);
    return worker.hasServing() == light ? score + KIND_BONUS : score;
  }

  /** Prefers a worker with serving tasks, the fullest first, then one with few fillers. */
  private static long servingScore(Worker worker) {
    return worker.hasServing() ? KIND_BONUS - worker.freeCpu() : -worker.fillerCpu();
  }
}
