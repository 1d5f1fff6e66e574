package org.hemlockpick.capacity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Table-service calls of a zone during a measurement.
 *
 * @param perSecond calls and rows per second by kind, summed over all entry instances of the zone
 * @param units starts, requests or changes that the calls served
 * @param seconds length of the measurement
 */
record StoreUse(Map<String, Double> perSecond, long units, int seconds) {

  static StoreUse of(Zone zone, long units, int seconds) {
    Map<String, Double> sums = new TreeMap<>();
    for (Node node : zone.nodes) {
      node.traffic
          .counts()
          .forEach(
              (kind, count) -> {
                if (kind.startsWith("store ") || kind.startsWith("row ")) {
                  sums.merge(kind, (double) count.messages() / seconds, Double::sum);
                }
              });
    }
    return new StoreUse(sums, units, seconds);
  }

  double writesEach() {
    return each("store write");
  }

  /** Returns the reads per unit, without the polls for contracts and evacuations. */
  double readsEach() {
    return each("store read") - each("store read config") - each("store read evacuations");
  }

  double rowsEach() {
    return each("row written");
  }

  private double each(String prefix) {
    double totalPerSecond =
        perSecond.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(prefix))
            .mapToDouble(Map.Entry::getValue)
            .sum();
    return units == 0 ? 0 : totalPerSecond * seconds / units;
  }
}
