package org.hemlockpick.cell;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

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

  private final Iterable<Worker> workers;
  private final long nowMillis;
  private boolean selected;
  private final Set<Worker> pool = new HashSet<>();
  private final Map<String, List<Worker>> services = new TreeMap<>();

  /**
   * Creates a pool of the workers that are schedulable at the given time. They are selected on
   * first use, because most planning passes have no long-running task.
   */
  ShortTaskPool(Iterable<Worker> workers, long nowMillis) {
    this.workers = workers;
    this.nowMillis = nowMillis;
  }

  /** Selects by a hash, so that the selection hardly changes when workers come and go. */
  private void select() {
    selected = true;
    for (Worker worker : workers) {
      if (worker.isSchedulable(nowMillis)) {
        String service = worker.entry().service();
        services.computeIfAbsent(service, key -> new ArrayList<>()).add(worker);
      }
    }
    for (List<Worker> all : services.values()) {
      all.sort(Comparator.comparing(ShortTaskPool::hash));
      pool.addAll(all.subList(0, poolSize(all.size())));
    }
  }

  private static int hash(Worker worker) {
    return Hashing.murmur3_32_fixed().hashString(worker.id(), StandardCharsets.UTF_8).asInt();
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
    return others.isEmpty() && isHalfFree(service) ? candidates : others;
  }

  /** Returns whether a worker belongs to the pool. */
  boolean contains(Worker worker) {
    if (!selected) {
      select();
    }
    return pool.contains(worker);
  }

  private boolean isHalfFree(String service) {
    long capacity = 0;
    long free = 0;
    for (Worker worker : services.getOrDefault(service, List.of())) {
      capacity += worker.entry().capacity().cpuMillis();
      free += worker.free().cpuMillis();
    }
    return 2 * free > capacity;
  }
}
