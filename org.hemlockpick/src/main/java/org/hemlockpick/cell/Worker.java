package org.hemlockpick.cell;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.cell.WorkerPort.Target;
import org.jspecify.annotations.Nullable;

/** Holds what the cell knows of a worker: its leases, runs, completions and reachability. */
final class Worker {
  /**
   * Share of the lease duration after which the lease of an unresponsive worker is extended, and by
   * which it is extended.
   */
  private static final double UNRESPONSIVE_LEASE_SHARE = 2.0 / 3;

  /** Precedes every other time; the time elapsed since then does not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * Consecutive unanswered calls after which a worker that had answered is declared unreachable.
   */
  private static final int FAILURES_UNTIL_UNREACHABLE = 3;

  private final WorkerRuns runs = new WorkerRuns();
  private final int idHash;
  private WorkerEntry entry;

  /** Capacity that no run has reserved. */
  private ResourceAmounts free;

  private boolean listed = true;
  private boolean tokenAcknowledged;
  private boolean fullyReported;
  private boolean unknownRuns;
  private boolean onRoster;

  /**
   * Whether a later holder may find in the table service that it is granted no more leases: until
   * this holder has stored it as reachable, and again once it is stored as unreachable.
   */
  private boolean storedAsUnreachable = true;

  /** Number of the first roster since which it has not been written as unreachable. */
  private long reachableSinceRoster = Long.MAX_VALUE;

  private final WorkerLeases leases = new WorkerLeases();
  private final WorkerCompletions completions = new WorkerCompletions();
  private final BootEvidence boots = new BootEvidence();

  /** Fencing token that has replaced the holder's at this worker; 0 if none has. */
  private long raisedToken;

  private boolean holdInFlight;
  private boolean removed;
  private long nextHoldAt;
  private long lastAnswerSentAt = NEVER;
  private long extendedAt = NEVER;
  private long lastOrderAt = NEVER;
  private int holdFailures;

  /** Time on the monotonic clock from which it may have left; the maximum unless it drains. */
  private long leavesAt = Long.MAX_VALUE;

  private final WorkerHealth health = new WorkerHealth();
  private final WorkerAdmission admission = new WorkerAdmission();
  private final ListedCapacity listedCapacity = new ListedCapacity();
  private final CapacityRefusals capacityRefusals = new CapacityRefusals();

  Worker(WorkerEntry entry) {
    this.entry = entry;
    this.idHash = Hashing.murmur3_32_fixed().hashString(entry.id(), StandardCharsets.UTF_8).asInt();
    this.free = entry.capacity();
  }

  String id() {
    return entry.id();
  }

  /** Returns a hash of its identifier, which is the same at all entry instances. */
  int idHash() {
    return idHash;
  }

  WorkerEntry entry() {
    return entry;
  }

  Target target() {
    return new Target(entry.id(), entry.address());
  }

  /** Replaces the entry with one of the platform's list. */
  void update(WorkerEntry newer) {
    if (!newer.capacity().equals(entry.capacity())) {
      capacityRefusals.clear();
    }
    entry = newer;
    listed = true;
    leavesAt = newer.draining() ? leavesAt : Long.MAX_VALUE;
    updateFree();
  }

  /** Sets the time at which its boot started. */
  void setBootTime(long bootTimeMillis) {
    entry = entry.withBootTime(bootTimeMillis);
    updateFree();
  }

  /**
   * Records how long it stays at least while it drains.
   *
   * @param readAt time on the monotonic clock before its entry was read
   */
  void setRemaining(long readAt) {
    leavesAt = Math.min(leavesAt, readAt + entry.remainingMillis());
  }

  /** Returns how long it stays at least, in milliseconds; only when draining. */
  long remainingMillis(long nowMillis) {
    return Math.min(entry.remainingMillis(), leavesAt - nowMillis);
  }

  boolean isListed() {
    return listed;
  }

  void setUnlisted() {
    listed = false;
  }

  /**
   * Resets its state after a restart under the same identifier. Its runs are kept until a report
   * names those that exist: orders sent before the new boot was noticed may have reached it. It
   * receives no task until a later roster contains it; storing that roster proves that the cell is
   * still held.
   *
   * @param leaseMillis longest lease that the new boot can have been granted
   */
  void onRestarted(long nowMillis, long leaseMillis) {
    tokenAcknowledged = false;
    fullyReported = false;
    unknownRuns = false;
    leavesAt = Long.MAX_VALUE;
    takeOffRoster();
    leases.onRestarted(nowMillis);
    extendedAt = NEVER;
    leases.record(nowMillis, leaseMillis);
    completions.clear();
  }

  /**
   * Returns whether it has answered a call with this holder's fencing token, so that no earlier
   * holder can use it.
   */
  boolean hasAcknowledgedToken() {
    return tokenAcknowledged;
  }

  /**
   * Records that it has answered a call with this holder's fencing token.
   *
   * @param leaseMillis longest lease that an earlier holder may have granted before
   */
  void setTokenAcknowledged(long nowMillis, long leaseMillis) {
    tokenAcknowledged = true;
    leases.record(nowMillis, leaseMillis);
  }

  /**
   * Returns the fencing token for the next call to it.
   *
   * @param holderToken fencing token of this holder, which is used until a higher one is set
   */
  long token(long holderToken) {
    return Math.max(holderToken, raisedToken);
  }

  /**
   * Sets a higher fencing token for later calls to it. Once it has answered one of them, it refuses
   * every earlier order that is still in flight.
   */
  void raiseToken(long token) {
    raisedToken = Math.max(raisedToken, token);
  }

  /** Returns whether its boot has reported all its runs and completions to this holder. */
  boolean isFullyReported() {
    return fullyReported;
  }

  void setFullyReported() {
    fullyReported = true;
  }

  /**
   * Returns whether its last report named runs of unknown tasks, whose reserved capacity is
   * unknown.
   */
  boolean hasUnknownRuns() {
    return unknownRuns;
  }

  void setUnknownRuns(boolean unknown) {
    unknownRuns = unknown;
  }

  /** Returns whether a later holder would learn from the table service that tasks may run here. */
  boolean isOnRoster() {
    return onRoster;
  }

  /** Returns whether it may run tasks and no roster has been written that shows so. */
  boolean isMissingOnRoster() {
    boolean isWritten = reachableSinceRoster != Long.MAX_VALUE;
    return listed && !isWritten && !isUnreachable() && !isDrained();
  }

  /** Records how it is written in the roster with the given number. */
  void onWrittenToRoster(long number) {
    if (isUnreachable()) {
      takeOffRoster();
      storedAsUnreachable = true;
    } else {
      reachableSinceRoster = Math.min(reachableSinceRoster, number);
    }
  }

  /** Takes it off the roster; it receives no task until a later roster contains it. */
  void takeOffRoster() {
    onRoster = false;
    reachableSinceRoster = Long.MAX_VALUE;
  }

  void onRosterStored(long number) {
    if (reachableSinceRoster > number) {
      return;
    }
    onRoster = true;
    if (storedAsUnreachable) {
      storedAsUnreachable = false;
      // Its leases can be extended from now on.
      nextHoldAt = 0;
    }
  }

  /** Returns whether a later holder may find it stored as granted no more leases. */
  boolean isStoredAsUnreachable() {
    return storedAsUnreachable;
  }

  /**
   * Returns whether its leases may be extended. A later holder counts the leases of a worker stored
   * as unreachable from the last renewal of the cell's lease, and those of a worker not stored as
   * reachable from the last renewal by an earlier holder. After a failed call the leases are
   * extended once, by a part of their duration, if they are about to expire: each such call
   * postpones the time by which they have expired for certain.
   */
  boolean mayBeExtended(long nowMillis, long leaseMillis, boolean isRenewalLate) {
    boolean isGone = isUnresponsive() && !listed;
    boolean isRetry = holdFailures == 1 && isExpiryNear(nowMillis, leaseMillis);
    boolean isDue = !isUnresponsive() || isRenewalLate || isRetry;
    return !runs.isEmpty() && leases.hasClock() && !storedAsUnreachable && !isGone && isDue;
  }

  private boolean isExpiryNear(long nowMillis, long leaseMillis) {
    return extendedAt != NEVER && nowMillis - extendedAt >= leaseMillis * UNRESPONSIVE_LEASE_SHARE;
  }

  /** Returns the expiry, on the worker's clock, of the lease to name in a hold call. */
  long extendLease(long nowMillis, long leaseMillis) {
    return leases.grant(
        nowMillis,
        isUnresponsive() ? (long) (leaseMillis * UNRESPONSIVE_LEASE_SHARE) : leaseMillis);
  }

  /**
   * Records that a call that named a lease timed out. On the known boot, the lease counts from the
   * sending of the call. On a later boot, it counts from when the call was carried out; such a boot
   * has runs only through orders that were answered or timed out after the last answer of the known
   * boot.
   */
  void onExtensionLost(long nowMillis, long leaseMillis) {
    if (lastOrderAt >= lastAnswerSentAt) {
      leases.record(nowMillis, leaseMillis);
    }
  }

  /** Records that an order to start a run was answered or timed out, and may be carried out. */
  void onStartOrdered(long nowMillis, long leaseMillis) {
    lastOrderAt = nowMillis;
    leases.record(nowMillis, leaseMillis);
  }

  /**
   * Records that its leases were extended.
   *
   * @param sentAt time from which they last at least
   */
  void setExtended(long sentAt) {
    extendedAt = sentAt;
  }

  /** Returns whether an extension would be the first that this holder has confirmed. */
  boolean isFirstExtensionDue() {
    return !runs.isEmpty() && leases.hasClock() && !storedAsUnreachable && extendedAt == NEVER;
  }

  /**
   * Returns the time of the last confirmed extension, by which the leases that expire first are
   * found; the maximum value if nothing runs there.
   */
  long extendedAt() {
    boolean mayRun = !tokenAcknowledged || !runs.isEmpty();
    return mayRun ? extendedAt : Long.MAX_VALUE;
  }

  /** Returns whether its last call was not answered, so that it receives no task. */
  boolean isUnresponsive() {
    return holdFailures > 0;
  }

  /**
   * Returns whether it is to be stored as unreachable, so that its leases are no longer extended.
   * As this lasts until a later roster is stored, single lost answers of a listed worker that has
   * answered before do not suffice.
   */
  boolean isUnreachable() {
    return holdFailures >= (tokenAcknowledged && listed ? FAILURES_UNTIL_UNREACHABLE : 1);
  }

  /** Returns whether it is draining and nothing runs or will run there. */
  boolean isDrained() {
    return entry.draining() && tokenAcknowledged && runs.isEmpty();
  }

  /** Returns the leases that may be in force on it. */
  WorkerLeases leases() {
    return leases;
  }

  /** Returns what is known of the completions of its boot. */
  WorkerCompletions completions() {
    return completions;
  }

  /** Returns what tells its boots apart. */
  BootEvidence boots() {
    return boots;
  }

  boolean isHoldInFlight() {
    return holdInFlight;
  }

  void setHoldInFlight(boolean inFlight) {
    holdInFlight = inFlight;
  }

  long nextHoldAt() {
    return nextHoldAt;
  }

  void setNextHoldAt(long atMillis) {
    nextHoldAt = atMillis;
  }

  /**
   * Records an answer.
   *
   * @param sentAt time at which the call was sent; when it was answered is not known
   */
  void onAnswer(long sentAt) {
    lastAnswerSentAt = sentAt;
    holdFailures = 0;
  }

  /** Returns the sending time of the call behind the newest accepted answer. */
  long lastAnswerSentAt() {
    return lastAnswerSentAt;
  }

  /** Returns whether the cell has removed it: later answers change nothing. */
  boolean isRemoved() {
    return removed;
  }

  void setRemoved() {
    removed = true;
  }

  int holdFailures() {
    return holdFailures;
  }

  void addHoldFailure() {
    holdFailures++;
  }

  Collection<Run> runs() {
    return runs.all();
  }

  /** Returns the runs of tasks that were suspect of crashing workers when they came. */
  Set<Run> suspects() {
    return runs.suspects();
  }

  Optional<Run> run(RunId name) {
    return runs.find(name);
  }

  void add(Run run) {
    runs.add(run);
    updateFree();
  }

  void remove(Run run) {
    if (!runs.remove(run)) {
      return;
    }
    if (runs.isEmpty()) {
      extendedAt = NEVER;
    }
    updateFree();
  }

  private void updateFree() {
    free = entry.capacity().minus(runs.reserved());
  }

  /** Records that a run was reported. */
  void onReported(Run run) {
    runs.onReported(run);
  }

  /** Returns the capacity that no run has reserved. */
  ResourceAmounts free() {
    return free;
  }

  /** Returns what its runs have reserved. */
  ResourceAmounts reserved() {
    return runs.reserved();
  }

  /** Returns whether the runs have reserved more than its capacity, which may have shrunk. */
  boolean isOverCapacity() {
    return !ResourceAmounts.NONE.fitsInto(free);
  }

  /** Returns the CPU that is neither reserved nor demanded by fillers, in millicores. */
  long freeCpu() {
    return free.cpuMillis() - runs.fillerCpu();
  }

  /** Returns the CPU demand of its fillers, in millicores. */
  long fillerCpu() {
    return runs.fillerCpu();
  }

  /** Returns the CPU reserved by its serving tasks, in millicores. */
  long servingCpu() {
    return runs.servingCpu();
  }

  /** Returns the images of its serving tasks. */
  Set<String> servingImages() {
    return runs.servingImages();
  }

  /** Returns its serving task with the highest tail latency; null if it has none. */
  @Nullable Run worstServingRun() {
    return runs.worstServing();
  }

  /** Returns what keeps new tasks from it for a while. */
  WorkerAdmission admission() {
    return admission;
  }

  /** Returns whether it may be assigned tasks. */
  boolean isSchedulable(long nowMillis) {
    return ineligibleReason(nowMillis) == null;
  }

  /** Returns why it may not be assigned any task; null if it may. */
  @Nullable IneligibleReason ineligibleReason(long nowMillis) {
    return WorkerEligibility.reason(this, nowMillis);
  }

  WorkerHealth health() {
    return health;
  }

  /** Returns the starts that it refused for lack of capacity. */
  CapacityRefusals capacityRefusals() {
    return capacityRefusals;
  }

  /** Returns how far the capacity of its entry may be relied on. */
  ListedCapacity listedCapacity() {
    return listedCapacity;
  }
}
