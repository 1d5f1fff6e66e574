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
 * Keeps some workers of each service free of tasks that last: there short tasks find room at once,
 * and fillers harm nobody.
 */
final class ShortTaskPool {
  /** Share of a service's workers, in percent. */
  private static final int POOL_PERCENT = 12;

  /** From this part of a worker on, in percent, one more is set apart: the first of seven. */
  private static final int ROUND_UP_FROM_PERCENT = 75;

  private final Iterable<Worker> workers;
  private final long nowMillis;
  private boolean selected;
  private final Set<Worker> pool = new HashSet<>();
  private final Map<String, List<Worker>> services = new TreeMap<>();

  /**
   * Will choose among the workers that may be given tasks at a time, once the choice is asked for:
   * most plans have no task that lasts.
   */
  ShortTaskPool(Iterable<Worker> workers, long nowMillis) {
    this.workers = workers;
    this.nowMillis = nowMillis;
  }

  /** Chooses by a hash, so that the choice hardly changes with the workers. */
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
   * Leaves the workers that are set apart out of those that have room for a task that lasts and has
   * not run yet. They are its last resort while half of the service is free. One that has run goes
   * on wherever there is room.
   */
  List<Worker> exclude(List<Worker> candidates, String service) {
    if (!selected) {
      select();
    }
    List<Worker> others = new ArrayList<>(candidates);
    others.removeIf(pool::contains);
    return others.isEmpty() && isHalfFree(service) ? candidates : others;
  }

  /** Tells whether a worker is set apart. */
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
