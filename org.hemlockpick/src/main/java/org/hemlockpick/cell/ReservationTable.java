package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Workers that are reserved for tasks that fit on no worker: nothing else is started there. */
final class ReservationTable {
  private final Map<Task, Reservation> byTask = new LinkedHashMap<>();
  private final Map<Worker, ResourceAmounts> byWorker = new LinkedHashMap<>();

  /**
   * A worker that is reserved for a task.
   *
   * @param sinceMillis time on the monotonic clock since which it is reserved
   */
  record Reservation(Task task, Worker worker, long sinceMillis) {}

  /** Returns the reservation of a task; null if it has none. */
  @Nullable Reservation of(Task task) {
    return byTask.get(task);
  }

  /** Returns all reservations, oldest first. */
  List<Reservation> all() {
    return new ArrayList<>(byTask.values());
  }

  /** Returns the workers that are reserved for at least one task. */
  Collection<Worker> workers() {
    return byWorker.keySet();
  }

  /** Returns the total amounts reserved on a worker. */
  ResourceAmounts reservedAt(Worker worker) {
    return byWorker.getOrDefault(worker, ResourceAmounts.NONE);
  }

  /** Returns the amounts reserved on a worker for a task and for all others that do not run now. */
  ResourceAmounts awaitedWith(Task task, Worker worker) {
    ResourceAmounts awaited = ResourceAmounts.NONE;
    for (Reservation reservation : byTask.values()) {
      boolean isAwaited = reservation.task() == task || !isRunning(reservation.task());
      if (reservation.worker() == worker && isAwaited) {
        awaited = awaited.plus(amountsOf(reservation));
      }
    }
    return awaited;
  }

  private static boolean isRunning(Task task) {
    Run run = task.run();
    return run != null && run.state() == Run.State.RUNNING;
  }

  /** Returns whether a worker is reserved for other tasks only. */
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
