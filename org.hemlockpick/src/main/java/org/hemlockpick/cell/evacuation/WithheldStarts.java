package org.hemlockpick.cell.evacuation;

import java.util.Map;
import java.util.TreeMap;
import org.hemlockpick.cell.CellMetrics;
import org.hemlockpick.cell.DecisionLog;

/** Counts and logs the start orders that are not sent because of an evacuation. */
public final class WithheldStarts {
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private final DecisionLog log;
  private final CellMetrics metrics;
  private final Map<String, ZoneCount> zones = new TreeMap<>();

  /** Creates an empty count. */
  public WithheldStarts(DecisionLog log, CellMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Counts a start order that is not sent.
   *
   * @param isEvacuated whether the zone is evacuated, or else the evacuated zones are not known
   */
  public void add(String zone, boolean isEvacuated) {
    metrics.count("evacuation.starts.held");
    ZoneCount count = zones.computeIfAbsent(zone, name -> new ZoneCount());
    count.starts++;
    count.evacuated = isEvacuated;
  }

  /** Logs what was counted, at most once a second for each zone. */
  public void run(long now) {
    zones.forEach((zone, count) -> log(zone, count, now));
  }

  private void log(String zone, ZoneCount count, long now) {
    if (count.starts == 0 || now < count.nextLogAt) {
      return;
    }
    String cause = count.evacuated ? "zone evacuated" : "evacuated zones not known";
    log.decided("evacuation", zone, "starts held", count.starts + " orders, " + cause);
    count.starts = 0;
    count.nextLogAt = now + LOG_INTERVAL_MILLIS;
  }

  private static final class ZoneCount {
    private int starts;
    private boolean evacuated;
    private long nextLogAt = Long.MIN_VALUE;
  }
}
