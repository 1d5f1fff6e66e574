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
 * Queues waiting requests and serves customers in proportion to their weights, by stride
 * scheduling. The requests of one customer are served first come, first served.
 */
final class FairQueue {
  private static final double STRIDE_AT_WEIGHT_ONE = 1_000.0;

  private static final class CustomerQueue {
    final ArrayDeque<Request> requests = new ArrayDeque<>();
    int weight;
    double pass;

    CustomerQueue(int weight, double pass) {
      this.weight = weight;
      this.pass = pass;
    }
  }

  private final Map<String, CustomerQueue> queues = new LinkedHashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  int size(String customer) {
    CustomerQueue queue = queues.get(customer);
    return queue == null ? 0 : queue.requests.size();
  }

  void add(Request request, int weight) {
    CustomerQueue queue =
        queues.computeIfAbsent(request.customer, name -> new CustomerQueue(weight, virtualTime));
    queue.weight = Math.max(1, weight);
    queue.requests.addLast(request);
    size++;
  }

  void remove(Request request) {
    CustomerQueue queue = queues.get(request.customer);
    if (queue == null || !queue.requests.remove(request)) {
      return;
    }
    size--;
    if (queue.requests.isEmpty()) {
      queues.remove(request.customer);
    }
  }

  /** Returns the next eligible request without removing it, or null if none is eligible. */
  @Nullable Request peek(Predicate<Request> eligible) {
    CustomerQueue firstQueue = null;
    Request first = null;
    for (CustomerQueue queue : queues.values()) {
      if (firstQueue != null && firstQueue.pass <= queue.pass) {
        continue;
      }
      Optional<Request> candidate = queue.requests.stream().filter(eligible).findFirst();
      if (candidate.isPresent()) {
        firstQueue = queue;
        first = candidate.get();
      }
    }
    return first;
  }

  /** Removes a request that is being served and advances its customer's pass by one stride. */
  void serve(Request request) {
    CustomerQueue queue = Objects.requireNonNull(queues.get(request.customer));
    virtualTime = queue.pass;
    queue.pass += STRIDE_AT_WEIGHT_ONE / queue.weight;
    remove(request);
  }

  List<Request> all() {
    List<Request> all = new ArrayList<>(size);
    queues.values().forEach(queue -> all.addAll(queue.requests));
    return all;
  }
}
