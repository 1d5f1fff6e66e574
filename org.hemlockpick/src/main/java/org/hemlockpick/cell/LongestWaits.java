package org.hemlockpick.cell;

import java.util.EnumMap;
import java.util.Map;

/** Counts the tasks that wait and their longest waits, by kind and reason. */
final class LongestWaits {
  private static final String PREFIX = "tasks.waiting.";
  private static final String LONGEST = ".longest.millis";

  private final Map<TaskKind, Waits> kinds = new EnumMap<>(TaskKind.class);

  LongestWaits() {
    for (TaskKind kind : TaskKind.values()) {
      kinds.put(kind, new Waits());
    }
  }

  /** The tasks of one kind. */
  private static final class Waits {
    private final Map<WaitReason, Long> counts = new EnumMap<>(WaitReason.class);
    private final Map<WaitReason, Long> longest = new EnumMap<>(WaitReason.class);

    /** Workers by why they are not chosen for the task that was looked at first. */
    private final Map<IneligibleReason, Integer> workers = new EnumMap<>(IneligibleReason.class);

    private void addGauges(String prefix, Map<String, Long> gauges) {
      gauges.put(prefix, counts.values().stream().mapToLong(Long::longValue).sum());
      gauges.put(
          prefix + LONGEST, longest.values().stream().mapToLong(Long::longValue).max().orElse(0));
      for (WaitReason reason : WaitReason.values()) {
        String name = prefix + "." + reason.name();
        gauges.put(name, counts.getOrDefault(reason, 0L));
        gauges.put(name + LONGEST, longest.getOrDefault(reason, 0L));
      }
      for (IneligibleReason reason : IneligibleReason.values()) {
        gauges.put(prefix + ".workers." + reason.name(), (long) workers.getOrDefault(reason, 0));
      }
    }
  }

  /** Begins a new look at the tasks. */
  void clear() {
    kinds.replaceAll((kind, waits) -> new Waits());
  }

  /** Adds a task that waits. */
  void add(TaskKind kind, WaitReason reason, long waitedMillis) {
    Waits waits = of(kind);
    waits.counts.merge(reason, 1L, Long::sum);
    waits.longest.merge(reason, waitedMillis, Math::max);
  }

  /** Sets why workers are not chosen for a task, unless that of another one is known. */
  void setWorkers(TaskKind kind, Map<IneligibleReason, Integer> counts) {
    Waits waits = of(kind);
    if (waits.workers.isEmpty()) {
      waits.workers.putAll(counts);
    }
  }

  private Waits of(TaskKind kind) {
    return kinds.computeIfAbsent(kind, each -> new Waits());
  }

  void addGauges(Map<String, Long> gauges) {
    kinds.forEach((kind, waits) -> waits.addGauges(PREFIX + kind.name(), gauges));
  }
}
