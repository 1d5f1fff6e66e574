package org.hemlockpick.cell;

import java.util.EnumMap;
import java.util.Map;

/** Counts the long-running tasks that wait, by reason, as the newest review has found them. */
final class WaitingTasks {
  private static final String PREFIX = "longRunning.waiting";

  private final Map<WaitReason, Long> tasks = new EnumMap<>(WaitReason.class);

  /** Workers by the reason why they are not eligible for the first task that was looked at. */
  private final Map<IneligibleReason, Integer> workers = new EnumMap<>(IneligibleReason.class);

  private long count;
  private long longestMillis;

  /** Begins a new review. */
  void clear() {
    tasks.clear();
    workers.clear();
    count = 0;
    longestMillis = 0;
  }

  /** Adds a task that waits. */
  void add(WaitReason reason, long waitedMillis) {
    tasks.merge(reason, 1L, Long::sum);
    count++;
    longestMillis = Math.max(longestMillis, waitedMillis);
  }

  /** Sets why workers are not eligible for a task, unless that of another task is known. */
  void setWorkers(Map<IneligibleReason, Integer> counts) {
    if (workers.isEmpty()) {
      workers.putAll(counts);
    }
  }

  void addGauges(Map<String, Long> gauges) {
    gauges.put(PREFIX, count);
    gauges.put(PREFIX + ".longest.millis", longestMillis);
    for (WaitReason reason : WaitReason.values()) {
      gauges.put(PREFIX + "." + reason.name(), tasks.getOrDefault(reason, 0L));
    }
    for (IneligibleReason reason : IneligibleReason.values()) {
      gauges.put(PREFIX + ".workers." + reason.name(), (long) workers.getOrDefault(reason, 0));
    }
  }
}
