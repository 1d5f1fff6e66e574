package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The workers that may be assigned tasks at one time, by service. */
final class SchedulableWorkers {
  private final long nowMillis;
  private final Map<String, List<Worker>> services = new HashMap<>();

  /** Selects from some workers those that are schedulable at a time on the monotonic clock. */
  SchedulableWorkers(Iterable<Worker> workers, long nowMillis) {
    this.nowMillis = nowMillis;
    for (Worker worker : workers) {
      if (worker.isSchedulable(nowMillis)) {
        String service = worker.entry().service();
        services.computeIfAbsent(service, key -> new ArrayList<>()).add(worker);
      }
    }
  }

  /** Returns the time on the monotonic clock at which they were selected. */
  long nowMillis() {
    return nowMillis;
  }

  /** Returns the schedulable workers of a service. */
  List<Worker> of(String service) {
    return services.getOrDefault(service, List.of());
  }

  /** Returns whether more than half of the CPU of a service's schedulable workers is free. */
  boolean isHalfFree(String service) {
    long capacity = 0;
    long free = 0;
    for (Worker worker : of(service)) {
      capacity += worker.entry().capacity().cpuMillis();
      // A worker that has shrunk below what it runs takes nothing from what others have free.
      free += Math.max(0, worker.free().cpuMillis());
    }
    return 2 * free > capacity;
  }

  /** Returns the schedulable workers of each service. */
  Iterable<List<Worker>> byService() {
    return services.values();
  }
}
