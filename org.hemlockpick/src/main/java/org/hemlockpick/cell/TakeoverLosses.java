package org.hemlockpick.cell;

import java.util.HashSet;
import java.util.Set;
import org.hemlockpick.proto.RosterEntry;

/**
 * The workers of earlier holders that were lost before this holder heard of them: another boot
 * answered, another worker has the address, or the lease ended. A task that may have run there may
 * have crashed them, and no earlier holder may have lived to count it.
 */
final class TakeoverLosses {
  private final Set<String> workers = new HashSet<>();

  /** Tasks that ran at lost workers which an earlier holder had stored as silent. */
  private final Set<String> tasks = new HashSet<>();

  /** Whether any task may have run at a lost worker. */
  private boolean anyTask;

  /** Number of losses that were recorded. */
  private int count;

  /** Records that a worker was lost. */
  void add(RosterEntry entry) {
    count++;
    workers.add(entry.getWorker());
    if (entry.getSilent()) {
      tasks.addAll(entry.getTasksList());
    } else {
      anyTask = true;
    }
  }

  /** Records that the holder before has not started all tasks that were in doubt for it. */
  void addEarlier() {
    count++;
    anyTask = true;
  }

  int count() {
    return count;
  }

  /**
   * Returns whether a task that was found nowhere may have run at a lost worker.
   *
   * @param arePlacementsStored whether a long-running task can only be at its placement
   * @param isFirst whether short tasks can start only from now on; one that is ready later was at
   *     none of the workers but those that the roster names it at
   */
  boolean mayInclude(Task task, boolean arePlacementsStored, boolean isFirst) {
    if (arePlacementsStored && task.step().step().longRunning()) {
      return workers.contains(task.placement());
    }
    return (anyTask && isFirst) || tasks.contains(task.id().toString());
  }
}
