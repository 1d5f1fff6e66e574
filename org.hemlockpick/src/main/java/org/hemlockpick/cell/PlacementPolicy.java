package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/** Chooses the worker for a task. */
interface PlacementPolicy {
  /**
   * Chooses among workers that have room and may run the task.
   *
   * @return the worker; null if the task had better wait
   */
  @Nullable Worker choose(Task task, Iterable<Worker> candidates);
}
