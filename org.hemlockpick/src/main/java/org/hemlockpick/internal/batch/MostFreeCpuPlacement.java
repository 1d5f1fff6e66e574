package org.hemlockpick.internal.batch;

import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the worker with the most free CPU. Prefers workers on which the task has not failed, and
 * among these the ones that can start it at once.
 */
final class MostFreeCpuPlacement implements PlacementPolicy {

  @Override
  public @Nullable PlacementCandidate choose(
      Task task, ResourceAmounts need, List<PlacementCandidate> candidates) {
    Predicate<PlacementCandidate> untried =
        candidate -> !task.wanted.getFailedOnList().contains(candidate.worker.name());
    PlacementCandidate startable =
        mostFree(candidates, untried.and(candidate -> candidate.fitsNow(need)));
    if (startable != null) {
      return startable;
    }
    PlacementCandidate assignable =
        mostFree(candidates, untried.and(candidate -> candidate.fitsAssignable(need)));
    if (assignable != null || candidates.stream().anyMatch(untried)) {
      return assignable;
    }
    return mostFree(candidates, candidate -> candidate.fitsNow(need));
  }

  private static @Nullable PlacementCandidate mostFree(
      List<PlacementCandidate> candidates, Predicate<PlacementCandidate> allowed) {
    return candidates.stream()
        .filter(allowed)
        .max(
            Comparator.comparingLong(PlacementCandidate::freeCpuMillis)
                .thenComparing(PlacementCandidate::assignableCpuMillis))
        .orElse(null);
  }
}
