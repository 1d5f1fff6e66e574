package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the worker with most free processor time, those in the preferred rack first. Fillers wait
 * until there is processor time for them, and go where they disturb no serving task if they can.
 */
final class MostFreePlacement implements PlacementPolicy {
  /** A filler counts a worker with serving tasks as having this much less free, in millicores. */
  private static final long SERVING_PENALTY = 6_000;

  /** Share of the processor time that a filler wants which must be free, in percent. */
  private static final int FILLER_SHARE_PERCENT = 70;

  /** Advantage of the preferred rack, in millicores. */
  private static final long RACK_BONUS = 1_000_000;

  @Override
  public @Nullable Worker choose(Task task, Iterable<Worker> candidates) {
    Step step = task.step().step();
    Worker best = null;
    long bestScore = Long.MIN_VALUE;
    for (Worker worker : candidates) {
      if (step.filler() && !hasTimeFor(step, worker)) {
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

  private static boolean hasTimeFor(Step step, Worker worker) {
    long wanted = step.demand().cpuMillis() * FILLER_SHARE_PERCENT / 100;
    return worker.fillerPace() >= 100 && worker.freeCpu() >= wanted;
  }

  private static long score(Task task, Step step, Worker worker) {
    long score = worker.freeCpu();
    if (step.filler() && worker.hasServing()) {
      score -= SERVING_PENALTY;
    }
    String rack = step.preferredRack();
    if (rack != null && worker.entry().labels().contains(rack)) {
      score += RACK_BONUS;
    }
    if (worker.id().equals(task.failedAt())) {
      score -= 2 * RACK_BONUS;
    }
    if (worker.health().isDoubtful()) {
      score -= task.failures() > 0 ? 2 * RACK_BONUS : SERVING_PENALTY;
    }
    return score;
  }
}
