package org.hemlockpick.cell;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.hemlockpick.cell.TableService.Range;
import org.hemlockpick.cell.rows.RosterSelection;
import org.hemlockpick.proto.RosterEntry;
import org.hemlockpick.proto.RosterRecord;
import org.jspecify.annotations.Nullable;

/**
 * Polls the platform's list of workers, and stores the roster: the workers where tasks may run on
 * the orders of this holder or an earlier one. No task is started on a worker before the stored
 * roster contains it.
 */
final class WorkerList {
  private static final long READ_INTERVAL_MILLIS = 450;

  /** Precedes every other time; the time elapsed since then does not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Delay before writing again a roster that the table service refused, in milliseconds. */
  private static final long REFUSED_RETRY_MILLIS = 10_000;

  private final TableService store;
  private final ConfigurationSource source;
  private final WorkerTable workers;
  private final TakeoverTracker takeover;
  private final int generation;

  /** Largest value of a row, in bytes. */
  private final int rowBytes;

  private final CellJournal journal;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Supplier<@Nullable Configuration> configuration;
  private final Listener listener;

  /** Boots of listed workers that have ended, by identifier; the list may still contain them. */
  private final Map<String, Long> endedBootTimes = new HashMap<>();

  /** Boot times of the workers when they last reported all their runs, by identifier. */
  private final Map<String, Long> reportedBootTimes = new HashMap<>();

  /** Version of the configuration by which it is set whether the workers guard their capacity. */
  private long appliedVersion;

  private boolean read;
  private boolean reading;

  /** Number of times at which a new reading was required. */
  private int requirements;

  private long nextReadAt;
  private boolean rosterChanged;

  /** Whether the last roster had no room for some workers. */
  private boolean rosterFull;

  private long nextRefusedAt;
  private long rosterNumber;

  /** Receives changes. */
  interface Listener {
    /** Called when the list was read. */
    void onRead();

    /**
     * Called when a worker restarted under its identifier.
     *
     * @param evidence what shows the restart, for the log
     */
    void onRestarted(Worker worker, String evidence);

    /** Called when tasks may be started on more workers. */
    void onRosterStored();
  }

  WorkerList(
      TableService store,
      ConfigurationSource source,
      WorkerTable workers,
      TakeoverTracker takeover,
      int generation,
      int rowBytes,
      CellJournal journal,
      LoopClock clock,
      DecisionLog log,
      Supplier<@Nullable Configuration> configuration,
      Listener listener) {
    this.store = store;
    this.source = source;
    this.workers = workers;
    this.takeover = takeover;
    this.generation = generation;
    this.rowBytes = rowBytes;
    this.journal = journal;
    this.clock = clock;
    this.log = log;
    this.configuration = configuration;
    this.listener = listener;
  }

  /** Returns whether the list was read. */
  boolean isRead() {
    return read;
  }

  /** Requests that the next run reads the list. */
  void requestRead() {
    nextReadAt = 0;
  }

  /**
   * Requires a new reading before a capacity is relied on that is not guarded: the process may have
   * been suspended, so that the age of the last one is not known.
   */
  void requireRead() {
    requirements++;
    requestRead();
    workers.all().forEach(worker -> worker.listedCapacity().requireRead());
  }

  /** Records that a worker has ended, though the list may contain it for a while. */
  void onEnded(Worker worker) {
    worker.setUnlisted();
    endedBootTimes.put(worker.id(), worker.entry().bootTimeMillis());
  }

  /** Requests that the next run writes the roster. */
  void requestRosterWrite() {
    rosterChanged = true;
  }

  void run(long now) {
    if (!reading && now >= nextReadAt) {
      reading = true;
      nextReadAt = now + READ_INTERVAL_MILLIS;
      int required = requirements;
      PagedRead.start(
          store,
          new Range(source.workerTable(), "", "", ""),
          rows -> onRows(rows, now, required == requirements));
    }
    Configuration inForce = configuration.get();
    if (inForce != null && inForce.version() != appliedVersion) {
      appliedVersion = inForce.version();
      workers.all().forEach(this::setGuarded);
    }
    if (journal.isRosterRefused() && now >= nextRefusedAt) {
      nextRefusedAt = now + REFUSED_RETRY_MILLIS;
      rosterChanged = true;
    }
    if (rosterChanged && read && takeover.isLoaded()) {
      rosterChanged = false;
      storeRoster();
    }
  }

  /** Sets for a worker whether it guards its capacity, as the configuration in force says. */
  private void setGuarded(Worker worker) {
    Configuration inForce = configuration.get();
    ServiceEntry service =
        inForce == null ? null : inForce.services().get(worker.entry().service());
    worker.listedCapacity().setGuarded(service != null && service.enforcesCapacity());
  }

  /**
   * Applies a reading.
   *
   * @param requestedAt time at which it was requested
   * @param isAgeKnown whether the process was certainly not suspended since
   */
  private void onRows(PagedRead.@Nullable Rows rows, long requestedAt, boolean isAgeKnown) {
    reading = false;
    if (rows == null) {
      return;
    }
    read = true;
    Set<String> listed = new HashSet<>();
    for (StoredRow row : rows.rows()) {
      source
          .worker(row.key(), row.value())
          .ifPresent(
              entry -> {
                listed.add(entry.id());
                updateUnlessEnded(entry, requestedAt, isAgeKnown);
              });
    }
    endedBootTimes.keySet().retainAll(listed);
    for (Worker worker : workers.all()) {
      if (worker.isListed() && !listed.contains(worker.id())) {
        worker.setUnlisted();
        rosterChanged |= worker.isUnresponsive();
        log.decided("worker", worker.id(), "left the list", worker.runs().size() + " runs");
      }
      rosterChanged |=
          !rosterFull && worker.isMissingOnRoster() && !takeover.isUnaccounted(worker.id());
    }
    listener.onRead();
  }

  private void updateUnlessEnded(WorkerEntry entry, long requestedAt, boolean isAgeKnown) {
    Long ended = endedBootTimes.get(entry.id());
    if (ended != null && entry.bootTimeMillis() == ended) {
      return;
    }
    endedBootTimes.remove(entry.id());
    Worker worker = workers.get(entry.id());
    if (worker == null) {
      worker = new Worker(entry);
      worker.boots().setKnown(clock.monotonicMillis());
      workers.add(worker);
      rosterChanged = true;
    } else if (ended != null || isCredible(worker, entry)) {
      update(worker, entry);
    }
    if (worker.entry().equals(entry)) {
      worker.listedCapacity().onRead(isAgeKnown ? requestedAt : NEVER);
    }
    if (worker.entry().draining()) {
      worker.setRemaining(requestedAt);
    }
    setGuarded(worker);
  }

  /**
   * Returns whether an entry is applied. One of another boot than that of a worker that answers is
   * not: the worker is asked at once, and its answer tells which boot is up.
   */
  private boolean isCredible(Worker worker, WorkerEntry entry) {
    long known = worker.entry().bootTimeMillis();
    long boot = entry.bootTimeMillis();
    if (known == 0 || boot == known) {
      return true;
    }
    if (boot == 0 || worker.boots().hasEnded(boot)) {
      return false;
    }
    if (!worker.hasAcknowledgedToken() || worker.isUnresponsive()) {
      return true;
    }
    long now = clock.monotonicMillis();
    if (worker.boots().doubt(boot, now)) {
      log.decided("worker", worker.id(), "doubted", "born " + boot + " in the list, not " + known);
    }
    worker.listedCapacity().requireRead();
    worker.setNextHoldAt(now);
    return false;
  }

  private void update(Worker worker, WorkerEntry entry) {
    long known = worker.entry().bootTimeMillis();
    boolean otherBoot = known != 0 && entry.bootTimeMillis() != known;
    if (entry.draining() && !worker.entry().draining()) {
      log.decided("worker", entry.id(), "draining", entry.remainingMillis() + " ms left");
      worker.setNextHoldAt(0);
    }
    if (!otherBoot && !entry.capacity().equals(worker.entry().capacity())) {
      String change = "from " + worker.entry().capacity() + " to " + entry.capacity();
      log.decided("worker", entry.id(), "resized", change + ", reserved " + worker.reserved());
    }
    if (otherBoot) {
      listener.onRestarted(worker, "born " + entry.bootTimeMillis() + " in the list");
    }
    if (entry.bootTimeMillis() != known) {
      worker.boots().setKnown(clock.monotonicMillis());
    }
    rosterChanged |= otherBoot || entry.draining() != worker.entry().draining();
    worker.update(entry);
  }

  /** Adds the workers of earlier holders that are not listed: they may still run and answer. */
  void addUnlisted() {
    for (RosterEntry entry : takeover.unaccounted()) {
      if (workers.get(entry.getWorker()) == null) {
        workers.add(unlisted(entry));
      }
    }
  }

  private static Worker unlisted(RosterEntry entry) {
    Worker worker =
        new Worker(
            new WorkerEntry(
                entry.getWorker(),
                entry.getBornMillis(),
                "",
                entry.getAddress(),
                "",
                false,
                0,
                0,
                ResourceAmounts.NONE,
                ImmutableSet.of()));
    worker.setUnlisted();
    return worker;
  }

  /** Removes a worker that is gone, where nothing can run any more. */
  void remove(Worker worker) {
    workers.remove(worker);
    worker.setRemoved();
    reportedBootTimes.remove(worker.id());
    rosterChanged = true;
  }

  private void storeRoster() {
    rosterNumber++;
    long number = rosterNumber;
    RosterRecord.Builder roster =
        RosterRecord.newBuilder()
            .setFormat(JobRows.FORMAT)
            .setGeneration(generation)
            .setLocated(takeover.isComplete())
            .setPlacesKept(takeover.arePlacementsStored())
            .setDoubted(takeover.isDoubted());
    List<Worker> known = new ArrayList<>(workers.all());
    roster.addAllWorkers(selectEntries(known, number));
    journal.setRoster(roster.build());
    journal.whenStored(
        () -> {
          if (!journal.isRosterRefused()) {
            known.forEach(worker -> worker.onRosterStored(number));
            listener.onRosterStored();
          }
        });
  }

  /** Returns the entries of the roster with a number; workers without one take no tasks. */
  private List<RosterEntry> selectEntries(List<Worker> known, long number) {
    Map<String, Worker> candidates = new HashMap<>();
    List<RosterEntry> required = new ArrayList<>();
    List<RosterEntry> optional = new ArrayList<>();
    for (Worker worker : known) {
      if (worker.isDrained()) {
        worker.takeOffRoster();
      } else if (!takeover.isUnaccounted(worker.id())) {
        candidates.put(worker.id(), worker);
        (worker.runs().isEmpty() ? optional : required).add(entry(worker));
      }
    }
    // What an earlier holder wrote of a worker stays valid until the worker is accounted for.
    required.addAll(takeover.unaccounted());
    List<RosterEntry> selected = RosterSelection.select(required, optional, rowBytes);
    for (RosterEntry entry : selected) {
      Worker worker = candidates.remove(entry.getWorker());
      if (worker != null) {
        worker.onWrittenToRoster(number);
      }
    }
    candidates.values().forEach(Worker::takeOffRoster);
    boolean wasFull = rosterFull;
    rosterFull = !candidates.isEmpty();
    if (rosterFull && !wasFull) {
      log.decided("worker", "roster", "full", candidates.size() + " workers take no tasks");
    }
    return selected;
  }

  private RosterEntry entry(Worker worker) {
    if (worker.isFullyReported()) {
      reportedBootTimes.put(worker.id(), worker.entry().bootTimeMillis());
    }
    // Until a new boot has reported, a later holder has to find out what was lost with the former.
    long bootTime = reportedBootTimes.getOrDefault(worker.id(), worker.entry().bootTimeMillis());
    RosterEntry.Builder entry =
        RosterEntry.newBuilder()
            .setWorker(worker.id())
            .setBornMillis(bootTime)
            .setAddress(worker.entry().address())
            .setSilent(worker.isUnreachable());
    if (worker.isUnreachable()) {
      worker.runs().forEach(run -> entry.addTasks(run.id().task().toString()));
    }
    return entry.build();
  }
}
