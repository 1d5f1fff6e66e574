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
 * Knows which tasks may still run, on the orders of an earlier holder, at workers that have not
 * answered to the own fencing token. Such a worker is accounted for when it answers, when another
 * has its address, or when it can hold no lease any more.
 */
final class TakeoverTracker {
  private static final long RETRY_MILLIS = 150;

  private final CellSettings settings;
  private final CellLease.Acquired lease;
  private final TableService store;
  private final LearnedState learnedState;
  private final LoopClock clock;
  private final DecisionLog log;

  /** Workers that are not accounted for, by their identifiers. */
  private final Map<String, RosterEntry> unaccounted = new LinkedHashMap<>();

  /** Tasks that may run at silent workers that are not accounted for. */
  private final Set<String> possiblyRunning = new HashSet<>();

  private boolean loading;
  private boolean loaded;

  /** Whether only the last holder has given tasks to the workers of the roster. */
  private boolean onlyPreviousHolderAssigned;

  /** Whether the places of all tasks that last were stored before they were ordered. */
  private boolean placementsStored = true;

  private boolean complete;
  private int reachableCount;
  private long nextLoadAt;

  TakeoverTracker(
      CellSettings settings,
      CellLease.Acquired lease,
      TableService store,
      LearnedState learnedState,
      LoopClock clock,
      DecisionLog log) {
    this.settings = settings;
    this.lease = lease;
    this.store = store;
    this.learnedState = learnedState;
    this.clock = clock;
    this.log = log;
  }

  /** Tells whether the workers of the earlier holders are known. */
  boolean isLoaded() {
    return loaded;
  }

  /** Tells whether every worker of earlier holders is accounted for. */
  boolean isComplete() {
    return complete;
  }

  /** Reads what the earlier holder left beside the jobs. */
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
    for (StoredRow row : rows.rows()) {
      if (row.key().equals(roster)) {
        CellRows.roster(row.value()).ifPresent(this::onRoster);
      } else if (row.key().equals(learned)) {
        CellRows.learned(row.value()).ifPresent(learnedState::restore);
      }
    }
    loaded = true;
  }

  private void onRoster(RosterRecord roster) {
    placementsStored = roster.getPlacesKept();
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
   * Adds up to when leases may have been granted at a worker. A holder grants none before it has
   * stored a roster, and none at a worker that this roster does not name as its own.
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

  /**
   * Takes note that a worker runs nothing that is not known.
   *
   * @param cause what shows it
   */
  void markAccounted(String worker, String cause) {
    if (unaccounted.remove(worker) != null) {
      recount();
      log.decided("worker", worker, "accounted for", cause + ", " + unaccounted.size() + " left");
    }
  }

  boolean isUnaccounted(String worker) {
    return unaccounted.containsKey(worker);
  }

  /** Returns how many workers are not accounted for, for the log. */
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

  /** Tells whether a later holder finds the places of all tasks that last. */
  boolean arePlacementsStored() {
    return placementsStored;
  }

  /** Takes note that the places of all tasks that last are stored. */
  void setPlacementsStored() {
    placementsStored = true;
  }

  /**
   * Tells whether a task must not be started yet. It is certain where a task is that was found at a
   * worker, or was handed in after the lease was taken; one that lasts can only be at its place.
   */
  boolean blocksStart(Task task) {
    if (complete || !task.job().isInherited() || task.isLocated()) {
      return false;
    }
    if (placementsStored && task.step().step().longRunning()) {
      return isUnaccounted(task.placement());
    }
    return reachableCount > 0 || possiblyRunning.contains(task.id().toString());
  }

  /**
   * Drops the workers whose leases have ended; returns whether tasks may have become free.
   *
   * @param exclusiveUntil latest time at which certainly nobody else can have renewed a lease
   */
  boolean run(long now, long exclusiveUntil) {
    if (complete) {
      return false;
    }
    int before = unaccounted.size();
    for (RosterEntry entry : List.copyOf(unaccounted.values())) {
      if (exclusiveUntil >= leaseExpiry(entry)) {
        unaccounted.remove(entry.getWorker());
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

  /** Returns the time at which no lease can be in force that an earlier holder granted. */
  private long leaseExpiry(RosterEntry entry) {
    long renewedAt =
        lease.history().latestWriteTime(entry.getGrantedVersion(), lease.lastRenewalSeenAt());
    long longest = settings.workerLeaseMillis();
    long lastGrant = renewedAt + (entry.getGrantingEnded() ? 0 : CellTiming.grantMillis(longest));
    return lastGrant + CellTiming.maxLeaseMillis(longest);
  }
}
