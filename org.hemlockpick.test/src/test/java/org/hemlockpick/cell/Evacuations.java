package org.hemlockpick.cell;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;

/**
 * The availability zones of a world, which the operator evacuates. Checks that no start is ordered
 * in a zone so late after the confirmation of a request that it may be carried out after the bound.
 */
final class Evacuations {
  static final String KEY_PREFIX = "evacuate/";
  static final long BOUND_MILLIS = 5_000;

  private final CellWorld world;
  private final int zoneCount;

  /** Times at which requests were confirmed, by zone. */
  private final Map<String, Long> confirmedAt = new HashMap<>();

  /** Times until which workers are slow after a start, by worker. */
  private final Map<String, Long> coldUntil = new HashMap<>();

  Evacuations(CellWorld world, int zoneCount) {
    this.world = world;
    this.zoneCount = zoneCount;
  }

  /** Returns the zone of a worker; the identifiers at an address are in the same zone. */
  String zoneOf(String worker) {
    String number = worker.split("~", -1)[0].replaceAll("[^0-9]", "");
    return zone(number.isEmpty() ? 0 : Integer.parseInt(number) % zoneCount);
  }

  static String zone(int index) {
    return "zone-" + (char) ('a' + index);
  }

  /** Returns whether the zone of a worker is evacuated. */
  boolean isEvacuated(String worker) {
    return confirmedAt.containsKey(zoneOf(worker));
  }

  /** Requests that a zone is evacuated; the request is confirmed at once. */
  void begin(String zone) {
    world.store.put("operator", KEY_PREFIX + zone, ByteString.copyFromUtf8("{}"));
    confirmedAt.putIfAbsent(zone, world.time.millis());
  }

  /** Ends the evacuation of a zone. */
  void end(String zone) {
    world.store.remove("operator", KEY_PREFIX + zone);
    confirmedAt.remove(zone);
  }

  /** Ends all evacuations. */
  void endAll() {
    for (int i = 0; i < zoneCount; i++) {
      end(zone(i));
    }
  }

  /** Has a worker list that it is slow for a time in milliseconds. */
  void setCold(String worker, long millis) {
    coldUntil.put(worker, world.time.millis() + millis);
  }

  /** Returns the time for which a worker lists that it is slow, in milliseconds. */
  long coldLeftMillis(String worker) {
    return Math.max(0, coldUntil.getOrDefault(worker, 0L) - world.time.millis());
  }

  /** Checks an order to start a run on a worker as it is given. */
  void check(String worker) {
    if (!world.isEvacuationEnabled()) {
      return;
    }
    String zone = zoneOf(worker);
    Long since = confirmedAt.get(zone);
    if (since == null) {
      return;
    }
    long age = world.time.millis() - since;
    if (age > BOUND_MILLIS - WorkerPort.ORDER_TIMEOUT_MILLIS) {
      String start = "a start at " + worker + " is ordered at " + world.time.millis();
      world.workers.violations.add(start + ", " + age + " ms after evacuating " + zone);
    }
  }
}
