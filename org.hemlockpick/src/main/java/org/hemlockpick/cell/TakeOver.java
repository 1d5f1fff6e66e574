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
final class TakeOver {
  private static final long RETRY_MILLIS = 150;

  private final CellSettings settings;
  private final CellLease.Acquired lease;
  private final TableService store;
  private final Experience experience;
  private final LoopClock clock;
  private final DecisionLog log;

  /** Workers that are not accounted for, by their identifiers. */
  private final Map<String, RosterEntry> unaccounted = new LinkedHashMap<>();

  /** Tasks that may run at silent workers that are not accounted for. */
  private final Set<String> doubtful = new HashSet<>();

  private boolean reading;
  private boolean read;

  /** Whether only the last holder has given tasks to the workers of the roster. */
  private boolean ofLastHolder;

  /** Whether the places of all tasks that last were stored before they were ordered. */
  private boolean placesKept = true;

  private boolean located;
  private int unknown;
  private long nextReadAt;

  TakeOver(
      CellSettings settings,
      CellLease.Acquired lease,
      TableService store,
      Experience experience,
      LoopClock clock,
      DecisionLog log) {
    this.settings = settings;
    this.lease = lease;
    this.store = store;
    this.experience = experience;
    this.clock = clock;
    this.log = log;
  }

  /** Tells whether the workers of the earlier holders are known. */
  boolean isRead() {
    return read;
  }

  /** Tells whether every worker of earlier holders is accounted for. */
  boolean isLocated() {
    return located;
  }

  /** Reads what the earlier holder left beside the jobs. */
  void read(long now) {
    if (read || reading || now < nextReadAt) {
      return;
    }
    reading = true;
    PagedRead.start(store, CellRows.range(settings.cell()), this::onRead);
  }

  private void onRead(PagedRead.@Nullable Rows rows) {
    reading = false;
    if (rows == null) {
      nextReadAt = clock.monotonicMillis() + RETRY_MILLIS;
      return;
    }
    String roster = CellRows.roster(settings.cell()).key();
    String learned = CellRows.learned(settings.cell()).key();
    for (StoredRow row : rows.rows()) {
      if (row.key().equals(roster)) {
        CellRows.roster(row.value()).ifPresent(this::take);
      } else if (row.key().equals(learned)) {
        CellRows.learned(row.value()).ifPresent(experience::restore);
      }
    }
    read = true;
  }

  private void take(RosterRecord roster) {
    placesKept = roster.getPlacesKept();
    ofLastHolder = roster.getLocated() && roster.getGeneration() == lease.generation() - 1;
    for (RosterEntry entry : roster.getWorkersList()) {
      unaccounted.put(entry.getWorker(), withLastGrant(entry, roster));
    }
    count();
    String tasks = unknown + " not silent, " + doubtful.size() + " tasks at silent ones";
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
        .setGrantingEnded(entry.getSilent() || (lease.previousHolderEnded() && ofLastHolder))
        .build();
  }

  private void count() {
    doubtful.clear();
    unknown = 0;
    for (RosterEntry entry : unaccounted.values()) {
      if (entry.getSilent()) {
        doubtful.addAll(entry.getTasksList());
      } else {
        unknown++;
      }
    }
  }

  /**
   * Takes note that a worker runs nothing that is not known.
   *
   * @param cause what shows it
   */
  void account(String worker, String cause) {
    if (unaccounted.remove(worker) != null) {
      count();
      log.decided("worker", worker, "accounted for", cause + ", " + unaccounted.size() + " left");
    }
  }

  boolean isUnaccounted(String worker) {
    return unaccounted.containsKey(worker);
  }

  /** Returns how many workers are not accounted for, for the log. */
  String unaccountedText() {
    return unaccounted.size() + " workers not accounted for, " + unknown + " of them not silent";
  }

  /** Returns the workers that are not accounted for. */
  Collection<RosterEntry> unaccounted() {
    return unaccounted.values();
  }

  /** Tells whether a later holder finds the places of all tasks that last. */
  boolean arePlacesKept() {
    return placesKept;
  }

  /** Takes note that the places of all tasks that last are stored. */
  void setPlacesKept() {
    placesKept = true;
  }

  /**
   * Tells whether a task must not be started yet. It is certain where a task is that was found at a
   * worker, or was handed in after the lease was taken; one that lasts can only be at its place.
   */
  boolean blocks(Task task) {
    if (located || !task.job().isInherited() || task.isLocated()) {
      return false;
    }
    if (placesKept && task.step().step().longRunning()) {
      return isUnaccounted(task.place());
    }
    return unknown > 0 || doubtful.contains(task.id().toString());
  }

  /**
   * Drops the workers whose leases have ended; returns whether tasks may have become free.
   *
   * @param heldAlone latest time at which certainly nobody else can have renewed a lease
   */
  boolean run(long now, long heldAlone) {
    if (located) {
      return false;
    }
    int before = unaccounted.size();
    for (RosterEntry entry : List.copyOf(unaccounted.values())) {
      if (heldAlone >= lapseAt(entry)) {
        unaccounted.remove(entry.getWorker());
        String reason = "not reached since the take-over, " + unaccounted.size() + " left";
        log.decided("worker", entry.getWorker(), "lease ended", reason);
      }
    }
    if (unaccounted.size() < before) {
      count();
    }
    if (unaccounted.isEmpty()) {
      located = true;
      String after = (now - lease.requestedAt()) + " ms after the lease was asked for";
      log.decided("cell", settings.cell(), "located", after);
    }
    return located || unaccounted.size() < before;
  }

  /** Returns the time at which no lease can be in force that an earlier holder granted. */
  private long lapseAt(RosterEntry entry) {
    long renewedAt =
        lease.history().latestWriteTime(entry.getGrantedVersion(), lease.lastRenewalSeenAt());
    long longest = settings.workerLeaseMillis();
    long lastGrant = renewedAt + (entry.getGrantingEnded() ? 0 : CellTiming.grantMillis(longest));
    return lastGrant + CellTiming.maxLeaseMillis(longest);
  }
}
