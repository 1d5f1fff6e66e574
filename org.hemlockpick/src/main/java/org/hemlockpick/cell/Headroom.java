package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps some room of each service free of tasks that last, so that short tasks of urgent queues
 * find room when they come: what lasts would take every core that a short task leaves.
 */
final class Headroom {
  /** Share of a service's processors that tasks which last do not take, in percent. */
  private static final int KEPT_PERCENT = 4;

  private final Map<String, Long> spare = new HashMap<>();

  /** Counts the room of the workers that may be given tasks. */
  Headroom(Iterable<Worker> workers, long nowMillis) {
    for (Worker worker : workers) {
      if (worker.isOpen(nowMillis)) {
        long kept = worker.entry().capacity().cpuMillis() * KEPT_PERCENT / 100;
        spare.merge(worker.entry().service(), worker.free().cpuMillis() - kept, Long::sum);
      }
    }
  }

  /** Tells whether a task of a step may take its room. */
  boolean allows(Step step, String service) {
    return !step.lasting() || spare.getOrDefault(service, 0L) >= step.reserved().cpuMillis();
  }

  /** Takes note that a task of a step has taken its room. */
  void take(Step step, String service) {
    spare.merge(service, -step.reserved().cpuMillis(), Long::sum);
  }
}
