package org.hemlockpick.cell;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The workers of the cell by identifier. */
final class WorkerTable {
  private final Map<String, Worker> workers = new LinkedHashMap<>();

  Collection<Worker> all() {
    return workers.values();
  }

  @Nullable Worker get(String id) {
    return workers.get(id);
  }

  /** Returns whether a worker of a service is known. */
  boolean hasService(String service) {
    return workers.values().stream().anyMatch(worker -> worker.entry().service().equals(service));
  }

  void add(Worker worker) {
    workers.put(worker.id(), worker);
  }

  void remove(Worker worker) {
    workers.remove(worker.id());
  }
}
