package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps some workers of each service free of long-running tasks: short tasks find free capacity
 * there at once, and fillers harm no serving task.
 */
final class ShortTaskPool {
  /** Share of a service's workers in the pool, in percent. */
  private static final int POOL_PERCENT = 12;

  /**
   * Fractional part of a worker, in percent, from which the pool size is rounded up; with it a
   * service of seven workers has the first one in its pool.
   */
  private static final int ROUND_UP_FROM_PERCENT = 75;

  private final SchedulableWorkers schedulable;
  private boolean selected;
  private final Set<Worker> pool = new HashSet<>();

  /**
   * Creates a pool of schedulable workers. They are selected on first use, because most planning
   * passes have no long-running task.
   */
  ShortTaskPool(SchedulableWorkers schedulable) {
    this.schedulable = schedulable;
  }

  /** Selects by a hash, so that the selection hardly changes when workers come and go. */
  private void select() {
    selected = true;
    for (List<Worker> all : schedulable.byService()) {
      List<Worker> sorted = new ArrayList<>(all);
      sorted.sort(Comparator.comparing(Worker::idHash));
      pool.addAll(sorted.subList(0, poolSize(sorted.size())));
    }
  }

  private static int poolSize(int workers) {
    return (workers * POOL_PERCENT + 100 - ROUND_UP_FROM_PERCENT) / 100;
  }

  /**
   * Excludes the workers of the pool from the candidates for a long-running task that has not run
   * yet. They are its last resort while more than half of the service's CPU is free. A task that
   * has run before may use any worker.
   */
  List<Worker> exclude(List<Worker> candidates, String service) {
    if (!selected) {
      select();
    }
    List<Worker> others = new ArrayList<>(candidates);
    others.removeIf(pool::contains);
    return others.isEmpty() && schedulable.isHalfFree(service) ? candidates : others;
  }

  /** Returns whether a worker belongs to the pool. */
  boolean contains(Worker worker) {
    if (!selected) {
      select();
    }
    return pool.contains(worker);
  }
}
