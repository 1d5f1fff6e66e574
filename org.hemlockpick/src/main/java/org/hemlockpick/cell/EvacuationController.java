package org.hemlockpick.cell;

import org.hemlockpick.cell.evacuation.EvacuatedZones;
import org.hemlockpick.cell.evacuation.WithheldStarts;

/**
 * Keeps tasks from being started in evacuated availability zones. It does nothing if evacuation is
 * disabled.
 */
final class EvacuationController {
  private final WorkerTable workers;
  private final LoopClock clock;
  private final DecisionLog log;
  private final boolean enabled;
  private final EvacuatedZones zones;
  private final WithheldStarts withheld;

  EvacuationController(
      CellSettings settings,
      TableService store,
      ConfigurationSource source,
      WorkerTable workers,
      LoopClock clock,
      DecisionLog log,
      CellMetrics metrics) {
    this.workers = workers;
    this.clock = clock;
    this.log = log;
    long bound = settings.evacuationBoundMillis();
    this.enabled = bound > 0;
    this.zones = new EvacuatedZones(bound, store, source, clock, new ZoneListener());
    this.withheld = new WithheldStarts(log, metrics);
  }

  /** Reads the requests, if it is time to, and marks the workers of evacuated zones. */
  void run() {
    if (enabled) {
      zones.run();
      markWorkers();
      withheld.run(clock.monotonicMillis());
    }
  }

  /** Requires a new reading before the next start, as the process may have been suspended. */
  void requireRead() {
    zones.requireRead();
  }

  /** Returns whether tasks may be started anywhere, as the evacuated zones are known. */
  boolean mayStart() {
    return !enabled || zones.isFresh();
  }

  /** Returns whether a task may be started on a worker now; counts the start if not. */
  boolean mayStartAt(Worker worker) {
    String zone = worker.entry().zone();
    if (!enabled || zones.mayStartIn(zone)) {
      return true;
    }
    withheld.add(zone, zones.isEvacuated(zone));
    return false;
  }

  private void markWorkers() {
    for (Worker worker : workers.all()) {
      worker.admission().setEvacuated(zones.isEvacuated(worker.entry().zone()));
    }
  }

  private final class ZoneListener implements EvacuatedZones.Listener {
    @Override
    public void onRequested(String zone) {
      long count = workers.all().stream().filter(w -> w.entry().zone().equals(zone)).count();
      log.decided("evacuation", zone, "requested", count + " workers");
      markWorkers();
    }

    @Override
    public void onEnded(String zone, long millis) {
      log.decided("evacuation", zone, "ended", "after " + millis + " ms");
      markWorkers();
    }
  }
}
