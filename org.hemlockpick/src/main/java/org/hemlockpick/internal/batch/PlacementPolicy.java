package org.hemlockpick.internal.batch;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Decides which worker a task is assigned to. */
interface PlacementPolicy {

  /**
   * Chooses a worker.
   *
   * @param task the task
   * @param need resources that the task needs
   * @param candidates the workers that may be chosen, with their free resources
   * @return the chosen candidate; null when the task has to wait
   */
  @Nullable PlacementCandidate choose(
      Task task, ResourceAmounts need, List<PlacementCandidate> candidates);
}
