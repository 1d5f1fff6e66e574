package org.hemlockpick.cell;

import com.google.common.collect.ImmutableSet;

/**
 * An entry of the platform's list, as written by the worker itself.
 *
 * @param id identifier of the worker
 * @param bootTimeMillis time of its start; another value is another boot; 0 if not known
 * @param service service that it belongs to
 * @param address host and port
 * @param zone availability zone
 * @param draining whether it is about to leave
 * @param remainingMillis minimum time until it leaves; only when draining
 * @param coldLeftMillis time for which it will still be slow; 0 if it is not
 * @param capacity capacity for all of its tasks together
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
    long coldLeftMillis,
    ResourceAmounts capacity,
    ImmutableSet<String> labels) {

  /**
   * Returns what is known of a later boot under the same identifier until its entry is read: it may
   * be of another kind, so that neither capacity nor labels can be relied on. They stay if no boot
   * was known before.
   */
  WorkerEntry withBootTime(long newBootTimeMillis) {
    boolean isSameBoot = bootTimeMillis == 0;
    return new WorkerEntry(
        id,
        newBootTimeMillis,
        service,
        address,
        zone,
        draining,
        remainingMillis,
        isSameBoot ? coldLeftMillis : 0,
        isSameBoot ? capacity : ResourceAmounts.NONE,
        isSameBoot ? labels : ImmutableSet.of());
  }
}
