package org.hemlockpick.cell;

import java.util.ArrayList;

/** Handles workers that restart, are replaced, or whose leases expire in silence. */
final class WorkerLifecycle {
  private final CellSettings settings;
  private final WorkerTable workers;
  private final WorkerList workerList;
  private final TakeoverTracker takeoverTracker;
  private final RunReconciler reconciler;
  private final CrashTracker crashes;
  private final LoopClock clock;
  private final DecisionLog log;
  private final CellMetrics metrics;

  WorkerLifecycle(
      CellSettings settings,
      WorkerTable workers,
      WorkerList workerList,
      TakeoverTracker takeoverTracker,
      RunReconciler reconciler,
      CrashTracker crashes,
      LoopClock clock,
      DecisionLog log,
      CellMetrics metrics) {
    this.settings = settings;
    this.workers = workers;
    this.workerList = workerList;
    this.takeoverTracker = takeoverTracker;
    this.reconciler = reconciler;
    this.crashes = crashes;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Handles the restart of a worker. Its runs are kept until its next report shows which are left.
   * It has forgotten the fencing token: a previous holder may use it until it has answered and is
   * written to the roster again.
   */
  void onRestarted(Worker worker, String evidence) {
    long now = clock.monotonicMillis();
    String before = "born " + worker.entry().bootTimeMillis() + " before, ";
    String runs = ", " + worker.runs().size() + " runs";
    log.decided("worker", worker.id(), "started anew", before + evidence + runs);
    metrics.count("workers.restarts");
    crashes.onRunsInDoubt(worker);
    worker.onRestarted(now, settings.workerLeaseMillis());
    worker.setNextHoldAt(now);
    workerList.requestRosterWrite();
    workerList.requestRead();
  }

  /** Handles a worker whose address another one has: none of its runs is left. */
  void onReplaced(Worker worker) {
    String runs = worker.entry().address() + ", " + worker.runs().size() + " runs";
    log.decided("worker", worker.id(), "replaced", "another worker at " + runs);
    takeoverTracker.onReplaced(worker);
    crashes.onReplaced(worker);
    for (Run run : new ArrayList<>(worker.runs())) {
      reconciler.onRunGone(run, "another worker has its address");
    }
    workerList.onEnded(worker);
  }

  /**
   * Drops the runs of unreachable workers once their leases have expired even on the slowest clock.
   * They must have expired while this holder held the cell exclusively, as a successor may have
   * extended a lease that expires later.
   *
   * @param exclusiveUntil time up to which it certainly did
   */
  void dropExpiredRuns(long exclusiveUntil) {
    for (Worker worker : new ArrayList<>(workers.all())) {
      boolean unreachable = worker.isUnresponsive() || !worker.isListed();
      if (unreachable && worker.leases().areExpired(exclusiveUntil)) {
        crashes.onRunsInDoubt(worker);
        for (Run run : new ArrayList<>(worker.runs())) {
          reconciler.onRunGone(run, "the lease of its worker has expired");
        }
        crashes.onRunsGivenUp(worker);
      }
      if (isRemovable(worker)) {
        workerList.remove(worker);
      } else if (worker.isDrained() && worker.isOnRoster()) {
        workerList.requestRosterWrite();
      }
    }
  }

  private boolean isRemovable(Worker worker) {
    boolean gone = !worker.isListed() && !worker.isHoldInFlight();
    return gone && worker.runs().isEmpty() && !takeoverTracker.isUnaccounted(worker.id());
  }
}
