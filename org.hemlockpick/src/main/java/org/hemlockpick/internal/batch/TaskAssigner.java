package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.jspecify.annotations.Nullable;

/**
 * Assigns queued tasks of held shards to workers that this entry instance owns, unless their
 * availability zone is evacuated.
 */
final class TaskAssigner implements LoopSystem {
  /**
   * Resources that may be assigned to a worker, in percent of its capacity. Tasks beyond the
   * capacity are already assigned in their row and start when capacity becomes free, so that the
   * worker stays busy while the table service is down.
   */
  static final int MAX_ASSIGNED_PERCENT = 150;

  /** Interval between runs when no change is known, in milliseconds. */
  private static final long IDLE_INTERVAL_MILLIS = 1_000;

  /** Minimum interval between runs, in milliseconds. */
  private static final long MIN_INTERVAL_MILLIS = 50;

  private final WorkerTable workers;
  private final BooleanSupplier evacuated;
  private final WorkerLoadTable loads;
  private final JobTable jobs;
  private final ShardTable shards;
  private final CustomerTaskUnits units;
  private final Quarantine quarantine;
  private final TaskOrder order;
  private final PlacementPolicy placement;
  private long nextRun;
  private long lastRun;

  TaskAssigner(
      WorkerTable workers,
      BooleanSupplier evacuated,
      WorkerLoadTable loads,
      JobTable jobs,
      ShardTable shards,
      CustomerTaskUnits units,
      Quarantine quarantine,
      TaskOrder order,
      PlacementPolicy placement) {
    this.workers = workers;
    this.evacuated = evacuated;
    this.loads = loads;
    this.jobs = jobs;
    this.shards = shards;
    this.units = units;
    this.quarantine = quarantine;
    this.order = order;
    this.placement = placement;
  }

  /** Schedules the next run early because there may be new tasks or newly free capacity. */
  void runSoon() {
    nextRun = Math.min(nextRun, lastRun + MIN_INTERVAL_MILLIS);
  }

  @Override
  public void run(long now) {
    if (now < nextRun) {
      return;
    }
    lastRun = now;
    nextRun = now + IDLE_INTERVAL_MILLIS;
    List<Job> waiting = waitingJobs();
    if (!waiting.isEmpty()) {
      assign(waiting, candidates(now), now);
    }
  }

  /** Returns whether any worker owned here accepts new tasks. */
  boolean hasWorkers(long now) {
    return !candidates(now).isEmpty();
  }

  /** Returns whether a task with these needs could start at once on a worker owned here. */
  boolean hasCapacity(ResourceAmounts need, long now) {
    return candidates(now).stream().anyMatch(candidate -> candidate.fitsNow(need));
  }

  private void assign(List<Job> waiting, List<PlacementCandidate> candidates, long now) {
    while (!candidates.isEmpty()) {
      Job job = order.next(waiting, units, now);
      if (job == null) {
        return;
      }
      Task task = job.queued.firstEntry().getValue();
      PlacementCandidate candidate = placement.choose(task, job.need(), candidates);
      if (candidate == null) {
        waiting.remove(job);
      } else if (!units.tryAcquire(job.customer())) {
        waiting.removeIf(other -> other.customer().equals(job.customer()));
      } else {
        assign(task, job, candidate);
        if (job.queued.isEmpty()) {
          waiting.remove(job);
        }
      }
    }
  }

  private void assign(Task task, Job job, PlacementCandidate candidate) {
    task.occupiesUnit = true;
    Worker worker = candidate.worker;
    shards.change(task, TaskTransitions.assigned(task.wanted, worker.name(), worker.boot()));
    candidate.reserve(job.need());
  }

  private List<Job> waitingJobs() {
    List<Job> waiting = new ArrayList<>();
    for (Job job : jobs.all()) {
      if (!job.queued.isEmpty() && !job.isCancelled()) {
        waiting.add(job);
      }
    }
    return waiting;
  }

  private List<PlacementCandidate> candidates(long now) {
    List<PlacementCandidate> candidates = new ArrayList<>();
    if (evacuated.getAsBoolean()) {
      return candidates;
    }
    for (Worker worker : workers.held(now)) {
      if (worker.accepts(now) && !quarantine.isQuarantined(worker.name(), now)) {
        candidates.add(candidate(worker));
      }
    }
    return candidates;
  }

  private PlacementCandidate candidate(Worker worker) {
    ResourceAmounts capacity = ResourceAmounts.of(worker.capacity());
    ResourceAmounts planned = loads.of(worker.name()).planned();
    return new PlacementCandidate(
        worker, capacity.minus(planned), capacity.percent(MAX_ASSIGNED_PERCENT).minus(planned));
  }

  /**
   * Returns the reason why no worker of the availability zone has the capacity for a task; null if
   * one has, or if the capacity of no worker is known.
   */
  static @Nullable String unplaceableReason(WorkerTable workers, ResourceAmounts need) {
    boolean known = false;
    for (Worker worker : workers.all()) {
      ResourceAmounts capacity = ResourceAmounts.of(worker.capacity());
      known |= !capacity.equals(ResourceAmounts.NONE);
      if (capacity.covers(need)) {
        return null;
      }
    }
    return known ? Messages.neverFits(need) : null;
  }
}
