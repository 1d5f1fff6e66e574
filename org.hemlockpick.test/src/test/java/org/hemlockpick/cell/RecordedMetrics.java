package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps what was counted and measured, for assertions. */
final class RecordedMetrics implements CellMetrics {
  private final Map<String, Long> counters = new HashMap<>();
  private final Map<String, List<Long>> values = new HashMap<>();
  private Map<String, Long> gauges = Map.of();

  /** Returns the value of a counter; 0 if it was never counted. */
  long counted(String name) {
    return counters.getOrDefault(name, 0L);
  }

  /** Returns the values recorded in a histogram. */
  List<Long> recorded(String name) {
    return values.getOrDefault(name, List.of());
  }

  /** Returns the value of a gauge; 0 if it is not published. */
  long gauge(String name) {
    return gauges.getOrDefault(name, 0L);
  }

  @Override
  public void count(String name) {
    counters.merge(name, 1L, Long::sum);
  }

  @Override
  public void count(String group, Enum<?> detail) {
    count(group + "." + detail.name());
  }

  @Override
  public void record(String name, long value) {
    values.computeIfAbsent(name, key -> new ArrayList<>()).add(value);
  }

  @Override
  public void publish(Map<String, Long> newest) {
    gauges = Map.copyOf(newest);
  }

  @Override
  public String toString() {
    return "counters " + counters + ", gauges " + gauges;
  }
}
