package org.hemlockpick.cell;

import com.google.common.collect.ImmutableSet;

/**
 * What a worker says of itself in the platform's list.
 *
 * @param id identifier of the worker
 * @param bootTimeMillis time of its start; another value is another boot; 0 if not told
 * @param service service that it belongs to
 * @param address host and port
 * @param zone availability zone
 * @param draining whether it is about to leave
 * @param remainingMillis least time until it leaves; only when draining
 * @param capacity what all of its tasks together may take
 * @param labels its kind and its rack
 */
public record WorkerEntry(
    String id,
    long bootTimeMillis,
    String service,
    String address,
    String zone,
    boolean draining,
    long remainingMillis,
    ResourceAmounts capacity,
    ImmutableSet<String> labels) {

  /** Returns the entry of a later boot under the same identifier. */
  WorkerEntry withBootTime(long bootTimeMillis) {
    return new WorkerEntry(
        id, bootTimeMillis, service, address, zone, draining, remainingMillis, capacity, labels);
  }
}
