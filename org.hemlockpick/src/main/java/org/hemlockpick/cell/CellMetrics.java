package org.hemlockpick.cell;

import java.util.Map;

/**
 * Receives the counts and measurements of an entry instance of a cell, under dotted names. Called
 * on the loop's thread for every call and decision, so implementations must not block and must be
 * cheap.
 */
public interface CellMetrics {
  /** Adds one to a counter. */
  void count(String name);

  /** Adds one to the counter of a group that a constant names. */
  void count(String group, Enum<?> detail);

  /** Records a measured value in a histogram. */
  void record(String name, long value);

  /**
   * Replaces the values of all gauges, about once a second. A gauge that was published before and
   * is not named now is 0.
   */
  void publish(Map<String, Long> gauges);
}
