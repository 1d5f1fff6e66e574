package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.internal.ownership.Worker;

/** Holds the load of every worker that reported or has assigned tasks. */
final class WorkerLoadTable {
  private final Map<String, WorkerLoad> loads = new HashMap<>();

  WorkerLoad of(String worker) {
    return loads.computeIfAbsent(worker, WorkerLoad::new);
  }

  List<WorkerLoad> all() {
    return new ArrayList<>(loads.values());
  }

  /** Returns the resources of a worker that no task may be using. */
  ResourceAmounts free(Worker worker) {
    return ResourceAmounts.of(worker.capacity()).minus(of(worker.name()).used());
  }

  void forget(String worker) {
    WorkerLoad load = loads.get(worker);
    if (load != null && load.assigned.isEmpty()) {
      loads.remove(worker);
    }
  }
}
