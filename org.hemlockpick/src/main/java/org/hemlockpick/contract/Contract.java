package org.hemlockpick.contract;

import java.util.List;
import java.util.Map;

/**
 * Holds the contract of one customer. All limits of the customer derive from it.
 *
 * @param customer name of the customer
 * @param keyDigests SHA-256 digests, in lower-case hex, of the keys that authenticate the customer
 * @param requestsInFlight maximum number of requests in flight over all availability zones
 * @param requestsPerSecond maximum number of requests accepted per second over all availability
 *     zones
 * @param weight share of the customer when slots are scarce, relative to other customers
 * @param services terms of each service by its name
 * @param batch terms for batch work
 */
public record Contract(
    String customer,
    List<String> keyDigests,
    int requestsInFlight,
    int requestsPerSecond,
    int weight,
    Map<String, ServiceTerms> services,
    BatchTerms batch) {

  /** Creates a contract with copies of the collections. */
  public Contract {
    keyDigests = List.copyOf(keyDigests);
    services = Map.copyOf(services);
  }

  /** Returns whether a key with this digest authenticates the customer. */
  public boolean accepts(String keyDigest) {
    return keyDigests.contains(keyDigest);
  }
}
