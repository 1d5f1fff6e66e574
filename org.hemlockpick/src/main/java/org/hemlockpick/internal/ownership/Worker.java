package org.hemlockpick.internal.ownership;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hemlockpick.proto.Capacity;
import org.hemlockpick.proto.LeaseReply;
import org.hemlockpick.proto.RunningRequest;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskStatus;

/**
 * Holds the state of one worker of this availability zone as far as it is known here: the lease,
 * the requests that occupy its slots, and the newest report.
 */
public final class Worker {
  /** Connections reserved for lease calls and batch calls of the owner and of its contenders. */
  static final int RESERVED_CONNECTIONS = 8;

  private final String name;
  private String address;
  private String rack;
  private boolean listed = true;
  private boolean listedLeaving;
  private long unlistedSince;
  private long lastContact = Long.MIN_VALUE;

  private long epoch;
  private long usableUntil;
  private String boot = "";
  private Capacity capacity = Capacity.getDefaultInstance();
  private boolean reportedLeaving;
  private boolean releasing;
  private long releasingSince;

  private long unclaimedSince = -1;
  private boolean leaseCallOpen;
  private long nextLeaseCall;
  private boolean freshConnectionRequired;

  private final Set<Long> ownEpochs = new LinkedHashSet<>();
  private final TreeMap<Long, RequestAttempt> openAttempts = new TreeMap<>();
  private final TreeMap<Long, RequestAttempt> abandonedAttempts = new TreeMap<>();
  private final Set<RunningRequest> foreignRequests = new LinkedHashSet<>();
  private Map<TaskRef, TaskStatus> tasks = Map.of();

  Worker(String name, String address, String rack) {
    this.name = name;
    this.address = address;
    this.rack = rack;
  }

  /** Returns the name of the worker. */
  public String name() {
    return name;
  }

  /** Returns the address given in the instance list. */
  public String address() {
    return address;
  }

  /** Returns the rack; empty when the instance list names none. */
  public String rack() {
    return rack;
  }

  /** Returns the epoch of the lease that this entry instance holds; 0 when it holds none. */
  public long epoch() {
    return epoch;
  }

  /** Returns the id of the worker's current boot; empty before the first lease. */
  public String boot() {
    return boot;
  }

  /** Returns the capacity of the worker; all zero before the first lease. */
  public Capacity capacity() {
    return capacity;
  }

  /**
   * Returns whether the worker is leaving: the instance list or the worker itself says so, or it is
   * no longer listed.
   */
  public boolean isLeaving() {
    return listedLeaving || reportedLeaving || !listed;
  }

  /** Returns whether this entry instance holds the lease and may rely on it now. */
  public boolean isHeld(long now) {
    return epoch != 0 && now < usableUntil;
  }

  /** Returns whether new work may be sent to the worker now. */
  public boolean accepts(long now) {
    return isHeld(now) && !releasing && !isLeaving();
  }

  /** Returns the statuses of tasks in the newest report, by attempt. */
  public Map<TaskRef, TaskStatus> tasks() {
    return tasks;
  }

  /** Returns how many slots may be occupied, counting every request not proved to have ended. */
  public int slotsUsed() {
    return openAttempts.size() + abandonedAttempts.size() + foreignRequests.size();
  }

  /** Returns how many requests may be sent now without exceeding the slots or connections. */
  public int freeSlots(long now) {
    if (!accepts(now)) {
      return 0;
    }
    int limit = Math.min(capacity.getSlots(), capacity.getConnections() - RESERVED_CONNECTIONS);
    return Math.max(0, limit - slotsUsed());
  }

  /** Returns the attempts that wait for an answer, oldest first. */
  public Collection<RequestAttempt> openAttempts() {
    return Collections.unmodifiableCollection(openAttempts.values());
  }

  /** Records that a request was sent; it occupies a slot until it is settled. */
  public void addAttempt(RequestAttempt attempt) {
    openAttempts.put(attempt.sequence(), attempt);
  }

  /** Records that an attempt ended: it was answered, refused or never sent. */
  public void settle(long sequence) {
    openAttempts.remove(sequence);
    abandonedAttempts.remove(sequence);
  }

  /** Stops waiting for the answer to an attempt; its slot stays occupied until proved free. */
  public void abandon(long sequence) {
    RequestAttempt attempt = openAttempts.remove(sequence);
    if (attempt != null) {
      abandonedAttempts.put(sequence, attempt);
    }
  }

  /** Requires the next call to use a new connection. */
  public void requireFreshConnection() {
    freshConnectionRequired = true;
  }

  /** Returns whether the next call must use a new connection, and clears the requirement. */
  public boolean takeFreshConnection() {
    boolean required = freshConnectionRequired;
    freshConnectionRequired = false;
    return required;
  }

  boolean isReleasing() {
    return releasing;
  }

  long releasingSince() {
    return releasingSince;
  }

  boolean isAbandoned(long sequence) {
    return abandonedAttempts.containsKey(sequence);
  }

  Collection<RequestAttempt> abandonedAttempts() {
    return Collections.unmodifiableCollection(abandonedAttempts.values());
  }

  long settledBelow(long nextSequence) {
    long lowest = nextSequence;
    if (!openAttempts.isEmpty()) {
      lowest = Math.min(lowest, openAttempts.firstKey());
    }
    if (!abandonedAttempts.isEmpty()) {
      lowest = Math.min(lowest, abandonedAttempts.firstKey());
    }
    return lowest;
  }

  void updateListing(String address, String rack, boolean leaving) {
    this.address = address;
    this.rack = rack;
    listed = true;
    listedLeaving = leaving;
  }

  void markUnlisted(long now) {
    if (listed) {
      listed = false;
      unlistedSince = now;
    }
  }

  boolean isListed() {
    return listed;
  }

  long unlistedSince() {
    return unlistedSince;
  }

  long lastContact() {
    return lastContact;
  }

  boolean isLeaseCallDue(long now) {
    return !leaseCallOpen && now >= nextLeaseCall;
  }

  void setClaimed(boolean claimed, long now) {
    if (claimed || epoch != 0) {
      unclaimedSince = -1;
    } else if (unclaimedSince < 0) {
      unclaimedSince = now;
      bringLeaseCallForward(now);
    }
  }

  long unclaimedSince(long now) {
    return unclaimedSince < 0 ? now : unclaimedSince;
  }

  void beginLeaseCall() {
    leaseCallOpen = true;
  }

  void endLeaseCall(long nextLeaseCall) {
    leaseCallOpen = false;
    this.nextLeaseCall = nextLeaseCall;
  }

  void bringLeaseCallForward(long time) {
    nextLeaseCall = Math.min(nextLeaseCall, time);
  }

  void recordContact(long now) {
    lastContact = now;
  }

  void beginRelease(long now) {
    releasing = true;
    releasingSince = now;
  }

  void clearLease() {
    epoch = 0;
    usableUntil = 0;
    releasing = false;
  }

  /** Applies a granted lease and the report that comes with it. */
  void grant(LeaseReply reply, long usableUntil) {
    if (epoch != reply.getEpoch()) {
      epoch = reply.getEpoch();
      ownEpochs.add(epoch);
    }
    this.usableUntil = Math.max(this.usableUntil, usableUntil);
    capacity = reply.getCapacity();
    reportedLeaving = reply.getLeaving();
    foreignRequests.clear();
    reply.getRunningRequestsList().stream()
        .filter(running -> !ownEpochs.contains(running.getEpoch()))
        .forEach(foreignRequests::add);
    tasks = new LinkedHashMap<>();
    for (TaskStatus status : reply.getTasksList()) {
      tasks.put(status.getTask(), status);
    }
  }

  /**
   * Sets the boot that the worker reports. Returns true if the worker restarted; what ran in its
   * previous boot is then forgotten.
   */
  boolean updateBoot(String reported) {
    if (reported.equals(boot)) {
      return false;
    }
    boolean first = boot.isEmpty();
    boot = reported;
    if (first) {
      return false;
    }
    abandonedAttempts.clear();
    foreignRequests.clear();
    return true;
  }

  /** Drops abandoned attempts of previous leases that the worker no longer runs. */
  void dropSupersededAttempts(List<RunningRequest> running) {
    abandonedAttempts
        .values()
        .removeIf(
            attempt ->
                attempt.epoch() != epoch
                    && running.stream()
                        .noneMatch(
                            r ->
                                r.getSequence() == attempt.sequence()
                                    && r.getEpoch() == attempt.epoch()));
  }
}
