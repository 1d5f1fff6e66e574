package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/**
 * Keeps fillers and serving tasks apart. Serving tasks fill up the workers that have some already;
 * fillers go to the other workers, where processor time is free for them; all other tasks, which
 * disturb nobody, take the room that is left beside serving tasks first.
 */
final class SeparatingPlacement implements PlacementPolicy {
  /** Share of the processor time that a filler wants which must be free, in percent. */
  private static final int FILLER_SHARE_PERCENT = 70;

  /** Advantage of a worker of the better kind, in millicores: more than any worker has. */
  private static final long KIND_BONUS = 1_000_000;

  /** Advantage of the preferred rack. */
  private static final long RACK_BONUS = 2 * KIND_BONUS;

  /** Disadvantage of a worker at which runs have failed. */
  private static final long DOUBT_PENALTY = 4 * KIND_BONUS;

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

  private static boolean takesFiller(Step step, Worker worker) {
    long wanted = step.demand().cpuMillis() * FILLER_SHARE_PERCENT / 100;
    return !worker.hasServing() && worker.freeCpu() >= wanted;
  }

  private static long score(Task task, Step step, Worker worker) {
    long score = step.isServing() ? servingScore(worker) : worker.freeCpu();
    if (!step.filler() && !step.isServing() && worker.hasServing()) {
      score += KIND_BONUS;
    }
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

  /** Prefers a worker with serving tasks, the fullest first, then one with few fillers. */
  private static long servingScore(Worker worker) {
    return worker.hasServing() ? KIND_BONUS - worker.freeCpu() : -worker.fillerCpu();
  }
}
