package org.hemlockpick.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.cell.WorkerPort.Target;
import org.jspecify.annotations.Nullable;

/** A worker that the cell gives tasks to. */
final class Worker {
  /** Share of the own steady clock at which a worker's clock goes at least. */
  private static final double MIN_CLOCK_RATE = 0.98;

  /** Share of a lease after which, and by which, it is extended though a call has failed. */
  private static final double UNRESPONSIVE_LEASE_SHARE = 2.0 / 3;

  /** A time before all others, from which spans can be counted. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Least time in which a worker can end and start anew, in milliseconds. */
  private static final long MIN_RESTART_MILLIS = 700;

  /** Calls in a row without an answer after which a worker that had answered is given up. */
  private static final int FAILURES_UNTIL_UNREACHABLE = 3;

  private final Map<RunId, Run> runs = new LinkedHashMap<>();
  private WorkerEntry entry;
  private boolean listed = true;
  private boolean tokenAcknowledged;
  private boolean fullyReported;
  private boolean unknownRuns;
  private boolean onRoster;

  /**
   * Whether a later holder may find it in the table service as granted no more leases: before this
   * holder has stored it as open, and once it is stored as silent.
   */
  private boolean storedAsUnreachable = true;

  /** Number of the first roster since which it has not been written as silent. */
  private long reachableSinceRoster = Long.MAX_VALUE;

  /** The least that the worker's clock can have shown at a time on the own steady clock. */
  private long clockMillis;

  private long clockReadAt = Long.MIN_VALUE;

  /** Time on the own steady clock at which every lease has certainly ended. */
  private long leasesExpiredAt = Long.MIN_VALUE;

  /** Number up to which all ends were taken. */
  private long lastCompletion;

  /** Numbers of ends above that were taken, too: the handling of one before them failed. */
  private final Set<Long> processedAbove = new HashSet<>();

  private boolean failedCompletions;
  private long recordedCompletion;

  /** Jobs of the ends above that one. */
  private final NavigableMap<Long, Job> unrecordedJobs = new TreeMap<>();

  /** Number up to which ends were confirmed to this boot. */
  private long acknowledgedCompletion;

  private boolean holdInFlight;
  private boolean removed;
  private long nextHoldAt;
  private long lastAnswerSentAt = NEVER;
  private long extendedAt = NEVER;
  private long lastOrderAt = NEVER;
  private int holdFailures;

  private ResourceAmounts reserved = ResourceAmounts.NONE;
  private long fillerCpu;
  private long backoffUntil = Long.MIN_VALUE;
  private final WorkerHealth health = new WorkerHealth();

  Worker(WorkerEntry entry) {
    this.entry = entry;
  }

  String id() {
    return entry.id();
  }

  WorkerEntry entry() {
    return entry;
  }

  Target target() {
    return new Target(entry.id(), entry.address());
  }

  /** Takes a newer entry of the platform's list. */
  void update(WorkerEntry newer) {
    entry = newer;
    listed = true;
  }

  /** Takes note of the time at which its boot started. */
  void setBootTime(long bootTimeMillis) {
    entry = entry.withBootTime(bootTimeMillis);
  }

  boolean isListed() {
    return listed;
  }

  void setUnlisted() {
    listed = false;
  }

  /**
   * Takes note that it started anew under its identifier. Its runs stay until a report tells which
   * are there: orders that were sent before the new boot was noticed may have reached it. It gets
   * no task until a later roster has it, whose storing proves that the cell is still held.
   *
   * @param leaseMillis longest lease that the new boot can have granted
   */
  void onRestarted(long nowMillis, long leaseMillis) {
    tokenAcknowledged = false;
    fullyReported = false;
    unknownRuns = false;
    takeOffRoster();
    clockMillis = 0;
    clockReadAt = nowMillis;
    extendedAt = NEVER;
    recordLease(nowMillis, leaseMillis);
    lastCompletion = 0;
    processedAbove.clear();
    failedCompletions = false;
    recordedCompletion = 0;
    unrecordedJobs.clear();
    acknowledgedCompletion = 0;
  }

  /**
   * Tells whether it has answered to the own fencing token, so that no earlier holder can use it.
   */
  boolean hasAcknowledgedToken() {
    return tokenAcknowledged;
  }

  /**
   * Takes note that it has answered to the own fencing token.
   *
   * @param leaseMillis longest lease that an earlier holder may have granted before
   */
  void setTokenAcknowledged(long nowMillis, long leaseMillis) {
    tokenAcknowledged = true;
    recordLease(nowMillis, leaseMillis);
  }

  /** Tells whether its boot has told all its runs and ends to this holder. */
  boolean isFullyReported() {
    return fullyReported;
  }

  void setFullyReported() {
    fullyReported = true;
  }

  /** Tells whether its last report named runs of unknown tasks, whose room is not known. */
  boolean hasUnknownRuns() {
    return unknownRuns;
  }

  void setUnknownRuns(boolean unknown) {
    unknownRuns = unknown;
  }

  /** Tells whether a later holder would know from the table service that tasks may run here. */
  boolean isOnRoster() {
    return onRoster;
  }

  /** Takes note of how it is written into the roster of a number. */
  void onWrittenToRoster(long number) {
    if (isUnreachable()) {
      takeOffRoster();
      storedAsUnreachable = true;
    } else {
      reachableSinceRoster = Math.min(reachableSinceRoster, number);
    }
  }

  /** Gives it no task until a later roster has it. */
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

  /** Tells whether a later holder may find it as granted no more leases. */
  boolean isStoredAsUnreachable() {
    return storedAsUnreachable;
  }

  /**
   * Tells whether its leases may be extended. A later holder counts those of a worker that is
   * stored as silent from the last renewal of the cell, and those of one that is not stored as open
   * from the last renewal of an earlier holder. After a call that failed they are extended once, by
   * a part, if they would end soon: each such call puts off the time at which they have certainly
   * ended.
   */
  boolean mayBeExtended(long nowMillis, long leaseMillis, boolean isRenewalLate) {
    boolean isGone = isUnresponsive() && !listed;
    boolean isRetry = holdFailures == 1 && isExpiryNear(nowMillis, leaseMillis);
    boolean isDue = !isUnresponsive() || isRenewalLate || isRetry;
    return !runs.isEmpty() && hasClock() && !storedAsUnreachable && !isGone && isDue;
  }

  private boolean isExpiryNear(long nowMillis, long leaseMillis) {
    return extendedAt != NEVER && nowMillis - extendedAt >= leaseMillis * UNRESPONSIVE_LEASE_SHARE;
  }

  /** Returns the end, on the worker's clock, of a lease that a call to hold is to name. */
  long extendLease(long nowMillis, long leaseMillis) {
    return grantLease(
        nowMillis,
        isUnresponsive() ? (long) (leaseMillis * UNRESPONSIVE_LEASE_SHARE) : leaseMillis);
  }

  /**
   * Takes note that a call that named a lease was given up. On the boot that is known the lease
   * counts from its sending. On a later one it counts from when it was carried out; runs are there
   * only by orders that were answered or given up after the boot that is known last answered.
   */
  void onExtensionLost(long nowMillis, long leaseMillis) {
    if (lastOrderAt >= lastAnswerSentAt) {
      recordLease(nowMillis, leaseMillis);
    }
  }

  /** Takes note that an order to start a run was answered or given up, and may be carried out. */
  void onStartOrdered(long nowMillis, long leaseMillis) {
    lastOrderAt = nowMillis;
    recordLease(nowMillis, leaseMillis);
  }

  /**
   * Takes note that its leases were extended.
   *
   * @param sentAt time from which they certainly last
   */
  void setExtended(long sentAt) {
    extendedAt = sentAt;
  }

  /** Tells whether an extension would be the first that this holder is certain of. */
  boolean isFirstExtensionDue() {
    return !runs.isEmpty() && hasClock() && !storedAsUnreachable && extendedAt == NEVER;
  }

  /**
   * Returns the time of the last extension that is certain, from which the leases that end first
   * are told; the greatest number if nothing runs there.
   */
  long extendedAt() {
    boolean mayRun = !tokenAcknowledged || !runs.isEmpty();
    return mayRun ? extendedAt : Long.MAX_VALUE;
  }

  /** Tells whether its last call had no answer, so that it gets no task. */
  boolean isUnresponsive() {
    return holdFailures > 0;
  }

  /**
   * Tells whether it is to be stored as silent, so that its leases are extended no more. That holds
   * up to the storing of a later roster, and so is worth more than single answers that are lost.
   */
  boolean isUnreachable() {
    return holdFailures >= (tokenAcknowledged && listed ? FAILURES_UNTIL_UNREACHABLE : 1);
  }

  /** Tells whether it will end soon, and nothing runs or will run there. */
  boolean isDrained() {
    return entry.draining() && tokenAcknowledged && runs.isEmpty();
  }

  /**
   * Takes note of the worker's clock in an answer of the boot that is known. The answer may be read
   * long after it was given, so that the clock shows this much or more by now.
   */
  void observeClock(long workerMillis, long nowMillis) {
    if (workerMillis <= 0) {
      return;
    }
    clockMillis = hasClock() ? Math.max(workerMillis, minClock(nowMillis)) : workerMillis;
    clockReadAt = nowMillis;
  }

  /** Returns the least that the worker's clock can show now. */
  private long minClock(long nowMillis) {
    return clockMillis + (long) ((nowMillis - clockReadAt) * MIN_CLOCK_RATE);
  }

  boolean hasClock() {
    return clockReadAt != Long.MIN_VALUE;
  }

  /** Returns the end of a lease on the worker's clock and notes that it may be in force. */
  long grantLease(long nowMillis, long leaseMillis) {
    recordLease(nowMillis, leaseMillis);
    return minClock(nowMillis) + leaseMillis;
  }

  /**
   * Takes note that a lease may begin as late as now. One that was named on the clock of an earlier
   * boot counts at a new one from when the order is carried out.
   */
  void recordLease(long nowMillis, long leaseMillis) {
    leasesExpiredAt = Math.max(leasesExpiredAt, nowMillis + CellTiming.maxLeaseMillis(leaseMillis));
  }

  /** Tells whether every lease that was ever named to it has certainly ended. */
  boolean areLeasesExpired(long nowMillis) {
    return nowMillis >= leasesExpiredAt;
  }

  /** Returns the time for which a lease may still be in force, in milliseconds. */
  long remainingLeaseMillis(long nowMillis) {
    return areLeasesExpired(nowMillis) ? 0 : leasesExpiredAt - nowMillis;
  }

  long lastCompletion() {
    return lastCompletion;
  }

  /** Tells whether an end was taken. */
  boolean hasProcessed(long number) {
    return number <= lastCompletion || processedAbove.contains(number);
  }

  /**
   * Takes note that an end was taken.
   *
   * @param isInOrder whether all before it were
   */
  void setProcessed(long number, boolean isInOrder) {
    if (isInOrder) {
      lastCompletion = Math.max(lastCompletion, number);
      processedAbove.remove(number);
    } else {
      processedAbove.add(number);
    }
  }

  /** Tells whether its last report brought ends whose handling failed. */
  boolean hasFailedCompletions() {
    return failedCompletions;
  }

  void setFailedCompletions(boolean failed) {
    failedCompletions = failed;
  }

  /** Returns the number up to which the ends are recorded in the table service. */
  long recordedCompletion() {
    return recordedCompletion;
  }

  /**
   * Returns the number up to which the worker may forget its ends. None after a call that failed or
   * a pause, as the worker may have started anew meanwhile and counts its ends from 1 then.
   */
  long completionToAcknowledge(long nowMillis) {
    boolean sameBoot = holdFailures == 0 && nowMillis - lastAnswerSentAt < MIN_RESTART_MILLIS;
    return sameBoot ? recordedCompletion : 0;
  }

  /** Takes note that an answer came to a call that confirmed ends up to a number. */
  void onAcknowledged(long number) {
    acknowledgedCompletion = Math.max(acknowledgedCompletion, number);
  }

  /** Tells whether ends are recorded that the worker has not been told to forget. */
  boolean isAcknowledgementDue() {
    return recordedCompletion > acknowledgedCompletion;
  }

  void setRecordedCompletion(long number) {
    recordedCompletion = Math.max(recordedCompletion, number);
    unrecordedJobs.headMap(recordedCompletion, true).clear();
  }

  /** Takes note of the job of an end that is not recorded yet. */
  void addUnrecorded(long number, Job job) {
    unrecordedJobs.put(number, job);
  }

  /**
   * Returns the number up to which ends belong to jobs whose progress is stored.
   *
   * @param number highest number to return
   * @param isProgressUnstored tells whether the newest progress of a job is not stored
   */
  long lastStoredCompletion(long number, Predicate<Job> isProgressUnstored) {
    for (Map.Entry<Long, Job> completion : unrecordedJobs.headMap(number, true).entrySet()) {
      if (isProgressUnstored.test(completion.getValue())) {
        return completion.getKey() - 1;
      }
    }
    return number;
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
   * Takes note of an answer.
   *
   * @param sentAt time at which it was asked for: when it was given is not known
   */
  void onAnswer(long sentAt) {
    lastAnswerSentAt = sentAt;
    holdFailures = 0;
  }

  /** Returns the time at which the newest answer that was taken was asked for. */
  long lastAnswerSentAt() {
    return lastAnswerSentAt;
  }

  /** Tells whether the cell has forgotten it: answers that still come change nothing. */
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
    return runs.values();
  }

  Optional<Run> run(RunId name) {
    return Optional.ofNullable(runs.get(name));
  }

  void add(Run run) {
    runs.put(run.id(), run);
    reserved = reserved.plus(run.step().reserved());
    fillerCpu += run.step().filler() ? run.step().demand().cpuMillis() : 0;
  }

  void remove(Run run) {
    if (runs.remove(run.id()) == null) {
      return;
    }
    if (runs.isEmpty()) {
      extendedAt = NEVER;
    }
    reserved = reserved.minus(run.step().reserved());
    fillerCpu -= run.step().filler() ? run.step().demand().cpuMillis() : 0;
  }

  /** Returns the room that no run has reserved. */
  ResourceAmounts free() {
    return entry.capacity().minus(reserved);
  }

  /** Returns the processor time that neither reservations nor fillers want. */
  long freeCpu() {
    return entry.capacity().cpuMillis() - reserved.cpuMillis() - fillerCpu;
  }

  /** Returns the processor time that its fillers want. */
  long fillerCpu() {
    return fillerCpu;
  }

  /** Returns the processor time that serving tasks have reserved. */
  long servingCpu() {
    long sum = 0;
    for (Run run : runs.values()) {
      sum += run.step().isServing() ? run.step().demand().cpuMillis() : 0;
    }
    return sum;
  }

  /** Takes no new task until a time on the steady clock. */
  void backOffUntil(long untilMillis) {
    backoffUntil = Math.max(backoffUntil, untilMillis);
  }

  /** Tells whether it may be given tasks. */
  boolean isSchedulable(long nowMillis) {
    return ineligibleReason(nowMillis) == null;
  }

  /** Returns why it may be given no task at all; null if it may. */
  @Nullable IneligibleReason ineligibleReason(long nowMillis) {
    if (!listed) {
      return IneligibleReason.UNLISTED;
    }
    if (holdFailures > 0) {
      return IneligibleReason.UNRESPONSIVE;
    }
    if (!tokenAcknowledged) {
      return IneligibleReason.TOKEN_NOT_ACKNOWLEDGED;
    }
    if (!onRoster) {
      return IneligibleReason.NOT_ON_ROSTER;
    }
    if (unknownRuns) {
      return IneligibleReason.UNKNOWN_RUNS;
    }
    if (entry.draining()) {
      return IneligibleReason.DRAINING;
    }
    if (nowMillis < backoffUntil) {
      return IneligibleReason.BACKING_OFF;
    }
    return hasClock() ? null : IneligibleReason.NO_CLOCK;
  }

  WorkerHealth health() {
    return health;
  }
}
