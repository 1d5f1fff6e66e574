package org.hemlockpick.internal.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Orders waiting requests so that customers get slots in proportion to their weights. Within a
 * customer the order is first come, first served. The order between customers is that of stride
 * scheduling.
 */
final class FairQueue {
  private static final double STRIDE = 1_000.0;

  private static final class Lane {
    final ArrayDeque<Request> requests = new ArrayDeque<>();
    int weight;
    double pass;

    Lane(int weight, double pass) {
      this.weight = weight;
      this.pass = pass;
    }
  }

  private final Map<String, Lane> lanes = new LinkedHashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  int size(String customer) {
    Lane lane = lanes.get(customer);
    return lane == null ? 0 : lane.requests.size();
  }

  void add(Request request, int weight) {
    Lane lane = lanes.computeIfAbsent(request.customer, name -> new Lane(weight, virtualTime));
    lane.weight = Math.max(1, weight);
    lane.requests.addLast(request);
    size++;
  }

  void remove(Request request) {
    Lane lane = lanes.get(request.customer);
    if (lane == null || !lane.requests.remove(request)) {
      return;
    }
    size--;
    if (lane.requests.isEmpty()) {
      lanes.remove(request.customer);
    }
  }

  /** Returns the first request in turn that is eligible, or null when none is; removes nothing. */
  @Nullable Request peek(Predicate<Request> eligible) {
    Lane firstLane = null;
    Request first = null;
    for (Lane lane : lanes.values()) {
      if (firstLane != null && firstLane.pass <= lane.pass) {
        continue;
      }
      Optional<Request> candidate = lane.requests.stream().filter(eligible).findFirst();
      if (candidate.isPresent()) {
        firstLane = lane;
        first = candidate.get();
      }
    }
    return first;
  }

  /** Removes a request that got its turn and charges its customer for it. */
  void serve(Request request) {
    Lane lane = Objects.requireNonNull(lanes.get(request.customer));
    virtualTime = lane.pass;
    lane.pass += STRIDE / lane.weight;
    remove(request);
  }

  List<Request> all() {
    List<Request> all = new ArrayList<>(size);
    lanes.values().forEach(lane -> all.addAll(lane.requests));
    return all;
  }
}
