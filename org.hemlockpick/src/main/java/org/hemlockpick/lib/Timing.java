package org.hemlockpick.lib;

import java.time.Duration;

/**
 * Holds the intervals and time limits of an entry instance.
 *
 * @param heartbeat interval between heartbeats to peers
 * @param peerTimeout time without a message after which a peer is considered dead
 * @param leaseTtl duration of the lease that a worker grants
 * @param leaseRenewal interval between renewals of a lease
 * @param workerTimeout time limit of a lease call to a worker
 * @param storeTimeout time limit of a call to the table service or the object store
 * @param configPoll interval at which the table service is polled for new contracts
 * @param journalInterval minimum interval between two group commits of batch state
 * @param startWait time for which a starting entry instance listens to its peers before it may
 *     serve without the table service
 * @param maxClockDrift maximum difference in rate between two clocks, as a fraction in [0, 0.5)
 */
public record Timing(
    Duration heartbeat,
    Duration peerTimeout,
    Duration leaseTtl,
    Duration leaseRenewal,
    Duration workerTimeout,
    Duration storeTimeout,
    Duration configPoll,
    Duration journalInterval,
    Duration startWait,
    double maxClockDrift) {

  /** Returns the values used when the settings specify none. */
  public static Timing defaults() {
    return new Timing(
        Duration.ofMillis(500),
        Duration.ofMillis(2_500),
        Duration.ofMillis(4_000),
        Duration.ofMillis(1_000),
        Duration.ofMillis(700),
        Duration.ofMillis(1_500),
        Duration.ofMillis(1_000),
        Duration.ofMillis(200),
        Duration.ofMillis(2_000),
        0.02);
  }

  /**
   * Returns how long the holder of a lease may use it, counted from a time before the renewal was
   * sent.
   *
   * @return time in milliseconds, shorter than {@link #leaseTtl()} to allow for clock drift
   */
  public long usableLeaseMillis() {
    return (long) (leaseTtl.toMillis() * (1.0 - 2 * maxClockDrift));
  }
}
