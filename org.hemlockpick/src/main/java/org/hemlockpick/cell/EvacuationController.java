package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.hemlockpick.cell.evacuation.EvacuatedZones;
import org.hemlockpick.cell.evacuation.WithheldStarts;

/**
 * Keeps tasks from being started in evacuated availability zones, and marks the workers there and
 * those that are still slow afterwards. It does nothing if evacuation is disabled.
 */
final class EvacuationController {
  /** Kind of its log lines. */
  static final String KIND = "evacuation";

  private final WorkerTable workers;
  private final BooleanSupplier areRunsKnown;
  private final LoopClock clock;
  private final DecisionLog log;
  private final boolean enabled;
  private final EvacuatedZones zones;
  private final WithheldStarts withheld;

  /** Numbers of runs in the evacuated zones, by zone. */
  private final Map<String, Long> runs = new HashMap<>();

  /** Evacuated zones that are logged as empty. */
  private final Set<String> empty = new HashSet<>();

  private final EvacuationRecovery recovery;

  /**
   * Creates the controller of a holder.
   *
   * @param areRunsKnown returns whether the runs of earlier holders are all known
   */
  EvacuationController(
      CellSettings settings,
      TableService store,
      ConfigurationSource source,
      WorkerTable workers,
      BooleanSupplier areRunsKnown,
      LoopClock clock,
      DecisionLog log,
      CellMetrics metrics) {
    this.workers = workers;
    this.areRunsKnown = areRunsKnown;
    this.clock = clock;
    this.log = log;
    long bound = settings.evacuationBoundMillis();
    this.enabled = bound > 0;
    this.zones = new EvacuatedZones(bound, store, source, clock, new ZoneListener());
    this.recovery = new EvacuationRecovery(log);
    this.withheld = new WithheldStarts(log, metrics);
  }

  /** Reads the requests, if it is time to, and marks the workers of their zones. */
  void run() {
    if (!enabled) {
      return;
    }
    long now = clock.monotonicMillis();
    zones.run();
    markWorkers(now);
    zones.zones().forEach(this::logIfEmpty);
    withheld.run(now);
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

  /** Adds its gauges, if evacuation is enabled. */
  void addGauges(Map<String, Long> gauges) {
    if (enabled) {
      gauges.put("evacuation.zones", (long) zones.zones().size());
      gauges.put("evacuation.runs", runs.values().stream().mapToLong(Long::longValue).sum());
      gauges.put("evacuation.recovering.workers", recovery.recoveringWorkers());
      gauges.put("evacuation.reading.age.millis", zones.ageMillis());
    }
  }

  private void markWorkers(long now) {
    runs.clear();
    recovery.begin();
    for (Worker worker : workers.all()) {
      String zone = worker.entry().zone();
      boolean isEvacuated = zones.isEvacuated(zone);
      worker.admission().setEvacuated(isEvacuated);
      if (isEvacuated) {
        runs.merge(zone, countRuns(worker), Long::sum);
      } else {
        recovery.update(worker, now);
      }
    }
    recovery.end(now);
  }

  /** Returns the number of the runs of a worker; those of unknown tasks count as one. */
  private static long countRuns(Worker worker) {
    return worker.runs().size() + (worker.hasUnknownRuns() ? 1L : 0L);
  }

  private void logIfEmpty(String zone) {
    boolean isEmpty = areRunsKnown.getAsBoolean() && runs.getOrDefault(zone, 0L) == 0;
    if (!isEmpty) {
      empty.remove(zone);
    } else if (empty.add(zone)) {
      log.decided(KIND, zone, "empty", "nothing runs there any more");
    }
  }

  private final class ZoneListener implements EvacuatedZones.Listener {
    @Override
    public void onRequested(String zone) {
      recovery.onRequested(zone);
      long count = workers.all().stream().filter(w -> w.entry().zone().equals(zone)).count();
      log.decided(KIND, zone, "requested", count + " workers");
      markWorkers(clock.monotonicMillis());
    }

    @Override
    public void onEnded(String zone, long millis) {
      empty.remove(zone);
      long now = clock.monotonicMillis();
      recovery.onEnded(zone, now);
      log.decided(KIND, zone, "ended", "after " + millis + " ms");
      markWorkers(now);
    }
  }
}
