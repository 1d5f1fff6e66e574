package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/** Chooses the worker for a task. */
interface PlacementPolicy {
  /**
   * Chooses among eligible workers with enough free capacity.
   *
   * @return the worker; null if the task should wait
   */
  @Nullable Worker choose(Task task, Iterable<Worker> candidates);

  /** Returns why a task is not placed on a worker that is eligible for it; null if it may be. */
  @Nullable IneligibleReason refusal(Task task, Worker worker);

  /**
   * Chooses a worker for a task that has waited for long, though each worker is expected to be
   * unsuited: only a run can show whether that is so.
   *
   * @param candidates workers with enough free capacity
   * @return the worker; null if the task should go on waiting
   */
  @Nullable Worker chooseForTrial(Task task, Iterable<Worker> candidates);
}
