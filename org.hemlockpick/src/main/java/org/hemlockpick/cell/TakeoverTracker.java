package org.hemlockpick.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.proto.RosterEntry;
import org.hemlockpick.proto.RosterRecord;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which tasks may still run, on the orders of an earlier holder, at workers that have not
 * answered a call with this holder's fencing token. Such a worker is accounted for when it answers,
 * when another worker has its address, or when it can no longer hold a lease.
 */
final class TakeoverTracker {
  private static final long RETRY_MILLIS = 150;

  private final CellSettings settings;
  private final CellLease.Acquired lease;
  private final TableService store;
  private final LearnedState learnedState;
  private final SetAsideJobs setAsideJobs;
  private final LoopClock clock;
  private final DecisionLog log;

  /** Workers that are not accounted for, by identifier. */
  private final Map<String, RosterEntry> unaccounted = new LinkedHashMap<>();

  /** Tasks that may run at unreachable workers that are not accounted for. */
  private final Set<String> possiblyRunning = new HashSet<>();

  private boolean loading;
  private boolean loaded;

  /** Whether only the previous holder has assigned tasks to the workers of the roster. */
  private boolean onlyPreviousHolderAssigned;

  /**
   * Whether the placements of all long-running tasks were stored before their starts were ordered.
   */
  private boolean placementsStored = true;

  private final TakeoverLosses losses = new TakeoverLosses();

  /** Whether tasks that may have run at lost workers have not been started since. */
  private boolean doubted;

  private boolean complete;
  private int reachableCount;
  private long nextLoadAt;

  TakeoverTracker(
      CellSettings settings,
      CellLease.Acquired lease,
      TableService store,
      LearnedState learnedState,
      SetAsideJobs setAsideJobs,
      LoopClock clock,
      DecisionLog log) {
    this.settings = settings;
    this.lease = lease;
    this.store = store;
    this.learnedState = learnedState;
    this.setAsideJobs = setAsideJobs;
    this.clock = clock;
    this.log = log;
  }

  /** Returns whether the workers of the earlier holders are known. */
  boolean isLoaded() {
    return loaded;
  }

  /** Returns whether every worker of the earlier holders is accounted for. */
  boolean isComplete() {
    return complete;
  }

  /** Loads what the earlier holder stored besides the jobs. */
  void load(long now) {
    if (loaded || loading || now < nextLoadAt) {
      return;
    }
    loading = true;
    PagedRead.start(store, CellRows.range(settings.cell()), this::onLoaded);
  }

  private void onLoaded(PagedRead.@Nullable Rows rows) {
    loading = false;
    if (rows == null) {
      nextLoadAt = clock.monotonicMillis() + RETRY_MILLIS;
      return;
    }
    String roster = CellRows.roster(settings.cell()).key();
    String learned = CellRows.learned(settings.cell()).key();
    String setAside = CellRows.setAside(settings.cell()).key();
    for (StoredRow row : rows.rows()) {
      if (row.key().equals(roster)) {
        CellRows.roster(row.value()).ifPresent(this::onRoster);
      } else if (row.key().equals(learned)) {
        CellRows.learned(row.value()).ifPresent(learnedState::restore);
      } else if (row.key().equals(setAside)) {
        CellRows.setAside(row.value()).ifPresent(setAsideJobs::restore);
      }
    }
    loaded = true;
  }

  private void onRoster(RosterRecord roster) {
    placementsStored = roster.getPlacesKept();
    if (roster.getDoubted()) {
      doubted = true;
      losses.addEarlier();
    }
    onlyPreviousHolderAssigned =
        roster.getLocated() && roster.getGeneration() == lease.generation() - 1;
    for (RosterEntry entry : roster.getWorkersList()) {
      unaccounted.put(entry.getWorker(), withLastGrant(entry, roster));
    }
    recount();
    String tasks =
        reachableCount + " not silent, " + possiblyRunning.size() + " tasks at silent ones";
    log.decided("cell", settings.cell(), "unaccounted", unaccounted.size() + " workers, " + tasks);
  }

  /**
   * Adds the version of the cell record until which leases may have been granted at a worker. A
   * holder grants none before it has stored a roster, and none at a worker that this roster does
   * not list as its own.
   */
  private RosterEntry withLastGrant(RosterEntry entry, RosterRecord roster) {
    if (entry.getGrantedVersion() != 0) {
      return entry;
    }
    boolean nothingStoredSince = roster.getGeneration() == lease.generation() - 2;
    boolean isOlder = nothingStoredSince && lease.previousReplacedVersion() != 0;
    return entry.toBuilder()
        .setGrantedVersion(isOlder ? lease.previousReplacedVersion() : lease.replacedVersion())
        .setGrantingEnded(
            entry.getSilent() || (lease.previousHolderEnded() && onlyPreviousHolderAssigned))
        .build();
  }

  private void recount() {
    possiblyRunning.clear();
    reachableCount = 0;
    for (RosterEntry entry : unaccounted.values()) {
      if (entry.getSilent()) {
        possiblyRunning.addAll(entry.getTasksList());
      } else {
        reachableCount++;
      }
    }
  }

  /** Marks a worker as accounted for that has reported all its runs. */
  void onAnswered(Worker worker) {
    RosterEntry entry = unaccounted.get(worker.id());
    if (entry != null) {
      long before = entry.getBornMillis();
      long bootTime = worker.entry().bootTimeMillis();
      markAccounted(entry, before != 0 && bootTime != before, "answered");
    }
  }

  /** Marks a worker as accounted for whose address another one has. */
  void onReplaced(Worker worker) {
    RosterEntry entry = unaccounted.get(worker.id());
    if (entry != null) {
      markAccounted(entry, true, "another worker has its address");
    }
  }

  private void markAccounted(RosterEntry entry, boolean isLost, String cause) {
    unaccounted.remove(entry.getWorker());
    if (isLost) {
      addLoss(entry);
    }
    recount();
    String boot = cause + (isLost ? ", its boot is lost, " : ", ");
    log.decided("worker", entry.getWorker(), "accounted for", boot + unaccounted.size() + " left");
  }

  private void addLoss(RosterEntry entry) {
    doubted = true;
    losses.add(entry);
  }

  /** Returns the workers that were lost before this holder heard of them. */
  TakeoverLosses losses() {
    return losses;
  }

  /** Returns whether a later holder has to be told of the losses. */
  boolean isDoubted() {
    return doubted;
  }

  /** Records that no later holder has to be told of the losses; returns whether it had to be. */
  boolean endDoubts() {
    boolean was = doubted;
    doubted = false;
    return was;
  }

  /** Returns whether all workers are accounted for that were not silent at the take-over. */
  boolean areReachableLocated() {
    return loaded && reachableCount == 0;
  }

  /**
   * Returns whether an inherited task that was found nowhere may have run at a lost worker.
   *
   * @param isFirst whether short tasks can start from now on, so that every loss concerns them
   */
  boolean isPossiblyLost(Task task, boolean isFirst) {
    return losses.mayInclude(task, placementsStored, isFirst);
  }

  boolean isUnaccounted(String worker) {
    return unaccounted.containsKey(worker);
  }

  /** Returns the number of workers that are not accounted for, as text for the log. */
  String describeUnaccounted() {
    return unaccounted.size()
        + " workers not accounted for, "
        + reachableCount
        + " of them not silent";
  }

  /** Returns the workers that are not accounted for. */
  Collection<RosterEntry> unaccounted() {
    return unaccounted.values();
  }

  /** Returns whether a later holder finds the placements of all long-running tasks in the store. */
  boolean arePlacementsStored() {
    return placementsStored;
  }

  /** Records that the placements of all long-running tasks are stored. */
  void setPlacementsStored() {
    placementsStored = true;
  }

  /**
   * Returns whether a task must not be started yet. The location of a task is known if the task was
   * found at a worker, unless it may have a second run elsewhere, or was submitted after the lease
   * was acquired; a long-running task can only be at its stored placement.
   */
  boolean blocksStart(Task task) {
    boolean isLocated = task.isLocated() && !task.mayHaveCopy();
    if (complete || !task.job().isInherited() || isLocated) {
      return false;
    }
    if (placementsStored && task.step().step().longRunning()) {
      return isUnaccounted(task.placement());
    }
    return reachableCount > 0 || possiblyRunning.contains(task.id().toString());
  }

  /**
   * Removes the workers whose leases have expired; returns whether tasks may have become startable.
   *
   * @param exclusiveUntil latest time at which no other instance can have renewed the cell's lease
   */
  boolean run(long now, long exclusiveUntil) {
    if (complete) {
      return false;
    }
    int before = unaccounted.size();
    for (RosterEntry entry : List.copyOf(unaccounted.values())) {
      if (exclusiveUntil >= leaseExpiry(entry)) {
        unaccounted.remove(entry.getWorker());
        addLoss(entry);
        String reason = "not reached since the take-over, " + unaccounted.size() + " left";
        log.decided("worker", entry.getWorker(), "lease ended", reason);
      }
    }
    if (unaccounted.size() < before) {
      recount();
    }
    if (unaccounted.isEmpty()) {
      complete = true;
      String after = (now - lease.requestedAt()) + " ms after the lease was asked for";
      log.decided("cell", settings.cell(), "located", after);
    }
    return complete || unaccounted.size() < before;
  }

  /** Returns the time by which every lease granted by an earlier holder has expired. */
  private long leaseExpiry(RosterEntry entry) {
    long renewedAt =
        lease.history().latestWriteTime(entry.getGrantedVersion(), lease.lastRenewalSeenAt());
    long longest = settings.workerLeaseMillis();
    long lastGrant = renewedAt + (entry.getGrantingEnded() ? 0 : CellTiming.grantMillis(longest));
    return lastGrant + CellTiming.maxLeaseMillis(longest);
  }
}
