package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;
import org.hemlockpick.cell.evacuation.RampUp;

/** Limits what workers get that are still slow after the evacuation of their availability zone. */
final class EvacuationRecovery {
  private final DecisionLog log;

  /** Zones whose evacuation ended a short time ago. */
  private final Map<String, Zone> zones = new HashMap<>();

  EvacuationRecovery(DecisionLog log) {
    this.log = log;
  }

  /** Records that the evacuation of a zone has ended. */
  void onEnded(String zone, long now) {
    zones.put(zone, new Zone(now));
  }

  /** Records that a zone is evacuated again. */
  void onRequested(String zone) {
    zones.remove(zone);
  }

  /** Begins a pass over all workers. */
  void begin() {
    zones.values().forEach(zone -> zone.recovering = 0);
  }

  /** Updates the limit of a worker whose zone is not evacuated. */
  void update(Worker worker, long now) {
    Zone zone = zones.get(worker.entry().zone());
    if (zone == null) {
      return;
    }
    worker.admission().updateRampUp(zone.endedAt, worker.entry().coldLeftMillis(), now);
    if (worker.admission().isRecovering()) {
      zone.recovering++;
      zone.hadRecovering = true;
    }
  }

  /** Ends a pass over all workers: logs the zones that have recovered. */
  void end(long now) {
    zones.forEach(
        (name, zone) -> {
          boolean isOver = zone.hadRecovering ? zone.recovering == 0 : zone.isPast(now);
          if (isOver && !zone.logged) {
            zone.logged = true;
            String slow = zone.hadRecovering ? "" : ", no worker was slow";
            String age = (now - zone.endedAt) + " ms after the evacuation";
            log.decided(EvacuationController.KIND, name, "recovered", age + slow);
          }
        });
    zones.values().removeIf(zone -> zone.isPast(now));
  }

  /** Returns the number of workers that are still slow, as of the last pass. */
  long recoveringWorkers() {
    return zones.values().stream().mapToLong(zone -> zone.recovering).sum();
  }

  private static final class Zone {
    private final long endedAt;
    private long recovering;
    private boolean hadRecovering;
    private boolean logged;

    Zone(long endedAt) {
      this.endedAt = endedAt;
    }

    boolean isPast(long now) {
      return now - endedAt >= RampUp.MAX_MILLIS;
    }
  }
}
