package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Workers that are kept for tasks which find no room: nothing else is started there. */
final class ReservationTable {
  private final Map<Task, Reservation> byTask = new LinkedHashMap<>();
  private final Map<Worker, ResourceAmounts> byWorker = new LinkedHashMap<>();

  /**
   * A worker that is kept for a task.
   *
   * @param sinceMillis time on the steady clock from which it is kept
   */
  record Reservation(Task task, Worker worker, long sinceMillis) {}

  /** Returns the reservation of a task; null if it has none. */
  @Nullable Reservation of(Task task) {
    return byTask.get(task);
  }

  /** Returns all reservations, the oldest first. */
  List<Reservation> all() {
    return new ArrayList<>(byTask.values());
  }

  /** Returns the workers that are kept for some task. */
  Collection<Worker> workers() {
    return byWorker.keySet();
  }

  /** Returns what is kept at a worker in all. */
  ResourceAmounts reservedAt(Worker worker) {
    return byWorker.getOrDefault(worker, ResourceAmounts.NONE);
  }

  /** Tells whether a worker is kept for other tasks than one. */
  boolean isReservedForOthers(Worker worker, Task task) {
    if (!byWorker.containsKey(worker)) {
      return false;
    }
    Reservation own = byTask.get(task);
    return own == null || own.worker() != worker;
  }

  /** Adds the reservation of a task that has none. */
  void add(Reservation reservation) {
    byTask.put(reservation.task(), reservation);
    byWorker.merge(reservation.worker(), amountsOf(reservation), ResourceAmounts::plus);
  }

  void remove(Reservation reservation) {
    byTask.remove(reservation.task());
    ResourceAmounts left = reservedAt(reservation.worker()).minus(amountsOf(reservation));
    if (byTask.values().stream().anyMatch(other -> other.worker() == reservation.worker())) {
      byWorker.put(reservation.worker(), left);
    } else {
      byWorker.remove(reservation.worker());
    }
  }

  private static ResourceAmounts amountsOf(Reservation reservation) {
    return reservation.task().step().step().reserved();
  }
}
