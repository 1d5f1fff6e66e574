package org.hemlockpick.capacity;

/**
 * The load of one measured availability zone with three entry instances.
 *
 * @param workers workers of the zone
 * @param remotePeers entry instances of other zones
 * @param customers customers with a contract
 * @param revisions accepted changes of contracts, at least as many as customers
 * @param tasks batch tasks that run on workers of the zone
 * @param requests requests that stay open at the first entry instance
 */
record Population(
    int workers, int remotePeers, int customers, int revisions, int tasks, int requests) {

  /** Returns a zone at the design size with the given number of running tasks. */
  static Population ofTasks(int tasks) {
    return new Population(54, 81, 430, 430, tasks, 0);
  }

  /** Returns a zone with the given number of workers and minimal other load. */
  static Population ofWorkers(int workers) {
    return new Population(workers, 81, 1, 1, 0, 0);
  }

  /** Returns a zone with the given number of remote entry instances and minimal other load. */
  static Population ofPeers(int remotePeers) {
    return new Population(54, remotePeers, 1, 1, 0, 0);
  }

  /** Returns a zone with the given numbers of contracts and contract changes. */
  static Population ofContracts(int customers, int revisions) {
    return new Population(54, 81, customers, revisions, 0, 0);
  }

  /** Returns a zone with the given number of open requests. */
  static Population ofRequests(int requests) {
    return new Population(54, 81, 1, 1, 0, requests);
  }
}
