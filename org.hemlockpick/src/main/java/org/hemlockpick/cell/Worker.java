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
import org.hemlockpick.cell.WorkerPort.RunName;
import org.hemlockpick.cell.WorkerPort.Target;
import org.jspecify.annotations.Nullable;

/** A worker that the cell gives tasks to. */
final class Worker {
  /** Share of the own steady clock at which a worker's clock goes at least. */
  private static final double SLOWEST_CLOCK = 0.98;

  /** Share of a lease after which, and by which, it is extended though a call has failed. */
  private static final double UNANSWERED_SHARE = 2.0 / 3;

  /** A time before all others, from which spans can be counted. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Least time in which a worker can end and start anew, in milliseconds. */
  private static final long SHORTEST_RESTART_MILLIS = 700;

  /** Calls in a row without an answer after which a worker that had answered is given up. */
  private static final int FAILURES_UNTIL_GIVEN_UP = 3;

  private final Map<RunName, Run> runs = new LinkedHashMap<>();
  private WorkerEntry entry;
  private boolean listed = true;
  private boolean fenced;
  private boolean toldAll;
  private boolean unknownRuns;
  private boolean onRoster;

  /**
   * Whether a later holder may find it in the table service as granted no more leases: before this
   * holder has stored it as open, and once it is stored as silent.
   */
  private boolean storedAsSilent = true;

  /** Number of the first roster since which it has not been written as silent. */
  private long openSince = Long.MAX_VALUE;

  /** The least that the worker's clock can have shown at a time on the own steady clock. */
  private long clockMillis;

  private long clockAt = Long.MIN_VALUE;

  /** Time on the own steady clock at which every lease has certainly ended. */
  private long leasesEndAt = Long.MIN_VALUE;

  /** Number up to which all ends were taken. */
  private long lastEnd;

  /** Numbers of ends above that were taken, too: the handling of one before them failed. */
  private final Set<Long> takenAbove = new HashSet<>();

  private boolean failedEnds;
  private long recordedEnd;

  /** Jobs of the ends above that one. */
  private final NavigableMap<Long, Job> unrecorded = new TreeMap<>();

  /** Number up to which ends were confirmed to this boot. */
  private long confirmedEnd;

  private boolean holding;
  private boolean removed;
  private long nextHoldAt;
  private long answeredAfter = NEVER;
  private long extendedAt = NEVER;
  private long orderedAt = NEVER;
  private int holdFailures;

  private Amounts reserved = Amounts.NONE;
  private long fillerCpu;
  private long closedUntil = Long.MIN_VALUE;
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
  void setBorn(long millis) {
    entry = entry.bornAt(millis);
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
  void reboot(long nowMillis, long leaseMillis) {
    fenced = false;
    toldAll = false;
    unknownRuns = false;
    takeOffRoster();
    clockMillis = 0;
    clockAt = nowMillis;
    extendedAt = NEVER;
    noteLease(nowMillis, leaseMillis);
    lastEnd = 0;
    takenAbove.clear();
    failedEnds = false;
    recordedEnd = 0;
    unrecorded.clear();
    confirmedEnd = 0;
  }

  /**
   * Tells whether it has answered to the own fencing token, so that no earlier holder can use it.
   */
  boolean isFenced() {
    return fenced;
  }

  /**
   * Takes note that it has answered to the own fencing token.
   *
   * @param leaseMillis longest lease that an earlier holder may have granted before
   */
  void setFenced(long nowMillis, long leaseMillis) {
    fenced = true;
    noteLease(nowMillis, leaseMillis);
  }

  /** Tells whether its boot has told all its runs and ends to this holder. */
  boolean hasToldAll() {
    return toldAll;
  }

  void setToldAll() {
    toldAll = true;
  }

  /** Tells whether its last report named runs of unknown tasks, whose room is not known. */
  boolean hasUnknownRuns() {
    return unknownRuns;
  }

  void setUnknownRuns(boolean some) {
    unknownRuns = some;
  }

  /** Tells whether a later holder would know from the table service that tasks may run here. */
  boolean isOnRoster() {
    return onRoster;
  }

  /** Takes note of how it is written into the roster of a number. */
  void declare(long number) {
    if (isGivenUp()) {
      takeOffRoster();
      storedAsSilent = true;
    } else {
      openSince = Math.min(openSince, number);
    }
  }

  /** Gives it no task until a later roster has it. */
  void takeOffRoster() {
    onRoster = false;
    openSince = Long.MAX_VALUE;
  }

  void onRosterStored(long number) {
    if (openSince > number) {
      return;
    }
    onRoster = true;
    if (storedAsSilent) {
      storedAsSilent = false;
      // Its leases can be extended from now on.
      nextHoldAt = 0;
    }
  }

  /** Tells whether a later holder may find it as granted no more leases. */
  boolean isStoredAsSilent() {
    return storedAsSilent;
  }

  /**
   * Tells whether its leases may be extended. A later holder counts those of a worker that is
   * stored as silent from the last renewal of the cell, and those of one that is not stored as open
   * from the last renewal of an earlier holder. After a call that failed they are extended once, by
   * a part, if they would end soon: each such call puts off the time at which they have certainly
   * ended.
   */
  boolean mayBeExtended(long nowMillis, long leaseMillis, boolean isRenewalLate) {
    boolean isLost = isSilent() && !listed;
    boolean isOnceMore = holdFailures == 1 && isEndNear(nowMillis, leaseMillis);
    boolean isDue = !isSilent() || isRenewalLate || isOnceMore;
    return !runs.isEmpty() && hasClock() && !storedAsSilent && !isLost && isDue;
  }

  private boolean isEndNear(long nowMillis, long leaseMillis) {
    return extendedAt != NEVER && nowMillis - extendedAt >= leaseMillis * UNANSWERED_SHARE;
  }

  /** Returns the end, on the worker's clock, of a lease that a call to hold is to name. */
  long extendLease(long nowMillis, long leaseMillis) {
    return grantLease(
        nowMillis, isSilent() ? (long) (leaseMillis * UNANSWERED_SHARE) : leaseMillis);
  }

  /**
   * Takes note that a call that named a lease was given up. On the boot that is known the lease
   * counts from its sending. On a later one it counts from when it was carried out; runs are there
   * only by orders that were answered or given up after the boot that is known last answered.
   */
  void onExtensionLost(long nowMillis, long leaseMillis) {
    if (orderedAt >= answeredAfter) {
      noteLease(nowMillis, leaseMillis);
    }
  }

  /** Takes note that an order to start a run was answered or given up, and may be carried out. */
  void onOrdered(long nowMillis, long leaseMillis) {
    orderedAt = nowMillis;
    noteLease(nowMillis, leaseMillis);
  }

  /**
   * Takes note that its leases were extended.
   *
   * @param askedAt time from which they certainly last
   */
  void setExtended(long askedAt) {
    extendedAt = askedAt;
  }

  /** Tells whether an extension would be the first that this holder is certain of. */
  boolean isFirstExtensionDue() {
    return !runs.isEmpty() && hasClock() && !storedAsSilent && extendedAt == NEVER;
  }

  /**
   * Returns the time of the last extension that is certain, from which the leases that end first
   * are told; the greatest number if nothing runs there.
   */
  long extendedAt() {
    boolean mayRun = !fenced || !runs.isEmpty();
    return mayRun ? extendedAt : Long.MAX_VALUE;
  }

  /** Tells whether its last call had no answer, so that it gets no task. */
  boolean isSilent() {
    return holdFailures > 0;
  }

  /**
   * Tells whether it is to be stored as silent, so that its leases are extended no more. That holds
   * up to the storing of a later roster, and so is worth more than single answers that are lost.
   */
  boolean isGivenUp() {
    return holdFailures >= (fenced && listed ? FAILURES_UNTIL_GIVEN_UP : 1);
  }

  /** Tells whether it will end soon, and nothing runs or will run there. */
  boolean isLeaving() {
    return entry.draining() && fenced && runs.isEmpty();
  }

  /**
   * Takes note of the worker's clock in an answer of the boot that is known. The answer may be read
   * long after it was given, so that the clock shows this much or more by now.
   */
  void sawClock(long workerMillis, long nowMillis) {
    if (workerMillis <= 0) {
      return;
    }
    clockMillis = hasClock() ? Math.max(workerMillis, leastClock(nowMillis)) : workerMillis;
    clockAt = nowMillis;
  }

  /** Returns the least that the worker's clock can show now. */
  private long leastClock(long nowMillis) {
    return clockMillis + (long) ((nowMillis - clockAt) * SLOWEST_CLOCK);
  }

  boolean hasClock() {
    return clockAt != Long.MIN_VALUE;
  }

  /** Returns the end of a lease on the worker's clock and notes that it may be in force. */
  long grantLease(long nowMillis, long leaseMillis) {
    noteLease(nowMillis, leaseMillis);
    return leastClock(nowMillis) + leaseMillis;
  }

  /**
   * Takes note that a lease may begin as late as now. One that was named on the clock of an earlier
   * boot counts at a new one from when the order is carried out.
   */
  void noteLease(long nowMillis, long leaseMillis) {
    leasesEndAt = Math.max(leasesEndAt, nowMillis + CellTiming.maxLeaseMillis(leaseMillis));
  }

  /** Tells whether every lease that was ever named to it has certainly ended. */
  boolean isLapsed(long nowMillis) {
    return nowMillis >= leasesEndAt;
  }

  /** Returns the time for which a lease may still be in force, in milliseconds. */
  long leaseLeft(long nowMillis) {
    return isLapsed(nowMillis) ? 0 : leasesEndAt - nowMillis;
  }

  long lastEnd() {
    return lastEnd;
  }

  /** Tells whether an end was taken. */
  boolean hasTaken(long number) {
    return number <= lastEnd || takenAbove.contains(number);
  }

  /**
   * Takes note that an end was taken.
   *
   * @param isInOrder whether all before it were
   */
  void setTaken(long number, boolean isInOrder) {
    if (isInOrder) {
      lastEnd = Math.max(lastEnd, number);
      takenAbove.remove(number);
    } else {
      takenAbove.add(number);
    }
  }

  /** Tells whether its last report brought ends whose handling failed. */
  boolean hasFailedEnds() {
    return failedEnds;
  }

  void setFailedEnds(boolean some) {
    failedEnds = some;
  }

  /** Returns the number up to which the ends are recorded in the table service. */
  long recordedEnd() {
    return recordedEnd;
  }

  /**
   * Returns the number up to which the worker may forget its ends. None after a call that failed or
   * a pause, as the worker may have started anew meanwhile and counts its ends from 1 then.
   */
  long endToConfirm(long nowMillis) {
    boolean sameBoot = holdFailures == 0 && nowMillis - answeredAfter < SHORTEST_RESTART_MILLIS;
    return sameBoot ? recordedEnd : 0;
  }

  /** Takes note that an answer came to a call that confirmed ends up to a number. */
  void onConfirmed(long number) {
    confirmedEnd = Math.max(confirmedEnd, number);
  }

  /** Tells whether ends are recorded that the worker has not been told to forget. */
  boolean isConfirmationDue() {
    return recordedEnd > confirmedEnd;
  }

  void setRecordedEnd(long number) {
    recordedEnd = Math.max(recordedEnd, number);
    unrecorded.headMap(recordedEnd, true).clear();
  }

  /** Takes note of the job of an end that is not recorded yet. */
  void addUnrecorded(long number, Job job) {
    unrecorded.put(number, job);
  }

  /**
   * Returns the number up to which ends belong to jobs whose progress is stored.
   *
   * @param number highest number to return
   * @param isLeftOut tells whether the newest progress of a job is not stored
   */
  long lastStoredEnd(long number, Predicate<Job> isLeftOut) {
    for (Map.Entry<Long, Job> end : unrecorded.headMap(number, true).entrySet()) {
      if (isLeftOut.test(end.getValue())) {
        return end.getKey() - 1;
      }
    }
    return number;
  }

  boolean isHolding() {
    return holding;
  }

  void setHolding(boolean underWay) {
    holding = underWay;
  }

  long nextHoldAt() {
    return nextHoldAt;
  }

  void setNextHoldAt(long nowMillis) {
    nextHoldAt = nowMillis;
  }

  /**
   * Takes note of an answer.
   *
   * @param askedAt time at which it was asked for: when it was given is not known
   */
  void answered(long askedAt) {
    answeredAfter = askedAt;
    holdFailures = 0;
  }

  /** Returns the time at which the newest answer that was taken was asked for. */
  long answeredAfter() {
    return answeredAfter;
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

  Optional<Run> run(RunName name) {
    return Optional.ofNullable(runs.get(name));
  }

  void add(Run run) {
    runs.put(run.name(), run);
    reserved = reserved.plus(run.step().reserved());
    fillerCpu += run.step().filler() ? run.step().demand().cpuMillis() : 0;
  }

  void remove(Run run) {
    if (runs.remove(run.name()) == null) {
      return;
    }
    if (runs.isEmpty()) {
      extendedAt = NEVER;
    }
    reserved = reserved.minus(run.step().reserved());
    fillerCpu -= run.step().filler() ? run.step().demand().cpuMillis() : 0;
  }

  /** Returns the room that no run has reserved. */
  Amounts free() {
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
  void closeUntil(long untilMillis) {
    closedUntil = Math.max(closedUntil, untilMillis);
  }

  /** Tells whether it may be given tasks. */
  boolean isOpen(long nowMillis) {
    return obstacle(nowMillis) == null;
  }

  /** Returns why it may be given no task at all; null if it may. */
  @Nullable Obstacle obstacle(long nowMillis) {
    if (!listed) {
      return Obstacle.UNLISTED;
    }
    if (holdFailures > 0) {
      return Obstacle.SILENT;
    }
    if (!fenced) {
      return Obstacle.NOT_FENCED;
    }
    if (!onRoster) {
      return Obstacle.NOT_ON_ROSTER;
    }
    if (unknownRuns) {
      return Obstacle.UNKNOWN_RUNS;
    }
    if (entry.draining()) {
      return Obstacle.DRAINING;
    }
    if (nowMillis < closedUntil) {
      return Obstacle.CLOSED;
    }
    return hasClock() ? null : Obstacle.NO_CLOCK;
  }

  WorkerHealth health() {
    return health;
  }
}
