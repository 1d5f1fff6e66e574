package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.jspecify.annotations.Nullable;

/** Assigns queued tasks of held shards to workers that this entry instance owns. */
final class Assigner implements LoopSystem {
  /**
   * What may be assigned to a worker, in percent of its capacity. What exceeds the capacity waits
   * at the worker's place in the row and is started when room gets free, so that the worker goes on
   * while the table service is down.
   */
  static final int AHEAD_PERCENT = 150;

  /** Interval between runs when nothing is known to have changed, in milliseconds. */
  private static final long IDLE_MILLIS = 1_000;

  /** Least interval between runs, in milliseconds. */
  private static final long LEAST_MILLIS = 50;

  private final WorkerTable workers;
  private final WorkerLedger ledger;
  private final JobTable jobs;
  private final ShardTable shards;
  private final TaskUnits units;
  private final Quarantine quarantine;
  private final TaskOrder order;
  private final PlacementPolicy placement;
  private long nextRun;
  private long lastRun;

  Assigner(
      WorkerTable workers,
      WorkerLedger ledger,
      JobTable jobs,
      ShardTable shards,
      TaskUnits units,
      Quarantine quarantine,
      TaskOrder order,
      PlacementPolicy placement) {
    this.workers = workers;
    this.ledger = ledger;
    this.jobs = jobs;
    this.shards = shards;
    this.units = units;
    this.quarantine = quarantine;
    this.order = order;
    this.placement = placement;
  }

  /** Makes the next run come soon: there may be new tasks or new room. */
  void wake() {
    nextRun = Math.min(nextRun, lastRun + LEAST_MILLIS);
  }

  @Override
  public void run(long now) {
    if (now < nextRun) {
      return;
    }
    lastRun = now;
    nextRun = now + IDLE_MILLIS;
    List<Job> waiting = waiting();
    if (!waiting.isEmpty()) {
      assign(waiting, rooms(now), now);
    }
  }

  /** Tells whether any worker owned here takes new tasks. */
  boolean hasWorkers(long now) {
    return !rooms(now).isEmpty();
  }

  /** Tells whether a task with these needs could start at once at a worker owned here. */
  boolean hasRoom(Amounts need, long now) {
    return rooms(now).stream().anyMatch(room -> room.fitsNow(need));
  }

  private void assign(List<Job> waiting, List<Room> rooms, long now) {
    while (!rooms.isEmpty()) {
      Job job = order.next(waiting, units, now);
      if (job == null) {
        return;
      }
      Task task = job.queued.firstEntry().getValue();
      Room room = placement.choose(task, job.need(), rooms);
      if (room == null) {
        waiting.remove(job);
      } else if (!units.tryTake(job.customer())) {
        waiting.removeIf(other -> other.customer().equals(job.customer()));
      } else {
        assign(task, job, room);
        if (job.queued.isEmpty()) {
          waiting.remove(job);
        }
      }
    }
  }

  private void assign(Task task, Job job, Room room) {
    task.counted = true;
    Worker worker = room.worker;
    shards.change(task, TaskChanges.assigned(task.wanted, worker.name(), worker.boot()));
    room.take(job.need());
  }

  private List<Job> waiting() {
    List<Job> waiting = new ArrayList<>();
    for (Job job : jobs.all()) {
      if (!job.queued.isEmpty() && !job.isCancelled()) {
        waiting.add(job);
      }
    }
    return waiting;
  }

  private List<Room> rooms(long now) {
    List<Room> rooms = new ArrayList<>();
    for (Worker worker : workers.held(now)) {
      if (worker.accepts(now) && !quarantine.holds(worker.name(), now)) {
        rooms.add(room(worker));
      }
    }
    return rooms;
  }

  private Room room(Worker worker) {
    Amounts capacity = Amounts.of(worker.capacity());
    Amounts planned = ledger.of(worker.name()).planned();
    return new Room(
        worker, capacity.minus(planned), capacity.percent(AHEAD_PERCENT).minus(planned));
  }

  /** Returns a reason why no worker of the zone could ever hold a task; null when one could. */
  static @Nullable String misfit(WorkerTable workers, Amounts need) {
    boolean known = false;
    for (Worker worker : workers.all()) {
      Amounts capacity = Amounts.of(worker.capacity());
      known |= !capacity.equals(Amounts.NONE);
      if (capacity.holds(need)) {
        return null;
      }
    }
    return known ? Messages.neverFits(need) : null;
  }
}
