package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.Condition;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.proto.CellRecord;
import org.hemlockpick.proto.LearnedRecord;
import org.hemlockpick.proto.RosterRecord;
import org.jspecify.annotations.Nullable;

/**
 * Writes what the holder of a cell has to keep. Every transaction rewrites the row of the lease
 * under the condition that nobody else has, so that it renews the lease and a former holder writes
 * nothing. At most one transaction is under way.
 */
final class CellJournal {
  /** Most rows in one transaction, one of them that of the lease. */
  private static final int MAX_ROWS = 90;

  private static final long RETRY_PAUSE_MILLIS = 100;

  /** Pause before jobs that were left out are sent again: not they may have been at fault. */
  private static final long LEFT_OUT_PAUSE_MILLIS = 10_000;

  private final CellSettings settings;
  private final TableService store;
  private final LoopClock clock;
  private final Supplier<CellRecord> lease;
  private final DecisionLog log;
  private final Listener listener;
  private final LeaseValidity term;

  /** Jobs whose newest progress the service has refused for good, so that it is not stored. */
  private final Set<Job> leftOut = new HashSet<>();

  private Set<Job> changed = new LinkedHashSet<>();
  private Set<Job> sentJobs = Set.of();
  private List<Runnable> waiting = new ArrayList<>();
  private List<Runnable> sentWaiting = List.of();
  private List<RowName> removals = new ArrayList<>();
  private @Nullable RosterRecord roster;
  private @Nullable RosterRecord sentRoster;
  private @Nullable LearnedRecord learned;

  private long version;

  /** Most rows beside that of the lease in the next transaction. */
  private int mostRows = MAX_ROWS - 1;

  /** Whether the service has refused the newest list of workers for good. */
  private boolean rosterLeftOut;

  /** Time on the steady clock from which the jobs that were left out are sent again. */
  private long nextLeftOutAt;

  private boolean underWay;
  private boolean ended;
  private boolean releasing;
  private long sentAt;
  private int doubtsWhenSent;
  private long nextAt;
  private boolean reachable = true;

  /**
   * Creates the journal of a holder.
   *
   * @param version version of the lease's row
   * @param acquiredFrom time on the steady clock at which the lease was asked for
   */
  CellJournal(
      CellSettings settings,
      TableService store,
      LoopClock clock,
      long version,
      long acquiredFrom,
      Supplier<CellRecord> lease,
      DecisionLog log,
      Listener listener) {
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.version = version;
    this.term = new LeaseValidity(acquiredFrom);
    this.sentAt = acquiredFrom;
    this.lease = lease;
    this.log = log;
    this.listener = listener;
  }

  /** Hears of the end of the lease. */
  interface Listener {
    /** Takes note that another holds the cell. */
    void onDeposed(String reason);

    /** Takes note that the table service stopped or began to answer. */
    void onStoreAvailability(boolean answers);

    /** Takes note that the cell was given up as wanted. */
    void onReleased();
  }

  /** Has the progress of a job written with the next transaction. */
  void markDirty(Job job) {
    changed.add(job);
  }

  /** Tells whether the newest progress of a job was left out, as the service refuses its row. */
  boolean isRefused(Job job) {
    return leftOut.contains(job);
  }

  /** Tells whether the newest list of workers was left out, as the service refuses its row. */
  boolean isRosterRefused() {
    return rosterLeftOut;
  }

  /** Has the list of the workers that may run tasks written with the next transaction. */
  void setRoster(RosterRecord newest) {
    roster = newest;
  }

  /**
   * Has what was learned written with the next transaction; it is not written again if it fails.
   */
  void setLearned(LearnedRecord newest) {
    learned = newest;
  }

  /** Has the progress of a job removed. */
  void remove(String job) {
    leftOut.removeIf(left -> left.id().equals(job));
    removals.add(JobRows.progress(job));
  }

  /**
   * Runs an action once everything that was handed in so far is stored or left out; at once if it
   * is.
   */
  void whenStored(Runnable action) {
    boolean clean = changed.isEmpty() && roster == null && !underWay;
    if (clean) {
      action.run();
      return;
    }
    waiting.add(action);
  }

  /** Gives the cell up with the next transaction that holds all that is to be stored. */
  void release() {
    releasing = true;
    nextAt = 0;
  }

  /** Ends the journal: nothing is written any more, and no order may be given. */
  void close() {
    ended = true;
  }

  /**
   * Tells whether an order may be given: the lease was renewed a short time ago.
   *
   * @param now time on the steady clock, from which a lease that the order grants must count
   */
  boolean allowsOrders(long now) {
    return !ended && term.allowsOrders(now, clock.wallMillis());
  }

  /**
   * Tells whether an order may be given that grants a lease at a worker.
   *
   * @param now time on the steady clock, from which the lease must count
   */
  boolean mayGrantLeases(long now) {
    return allowsOrders(now) && grantMillisLeft(now) > 0;
  }

  /** Tells whether the last renewal is older than it ever is while the table service answers. */
  boolean isRenewalLate(long now) {
    return term.renewalAge(now) > CellTiming.LATE_RENEWAL_MILLIS;
  }

  /** Returns the time for which leases may be granted without a renewal, in milliseconds. */
  long grantMillisLeft(long now) {
    return CellTiming.grantMillis(settings.workerLeaseMillis()) - term.renewalAge(now);
  }

  /** Tells whether the cell was lost or given up: what is heard from then on changes nothing. */
  boolean hasEnded() {
    return ended;
  }

  /**
   * Tells whether a later holder is certain to find the row of a job when it reads the jobs: the
   * lease was renewed after the row was written, or so lately that nobody has taken it since.
   */
  boolean isVisibleToSuccessor(long rowVersion) {
    return version > rowVersion || term.isExclusive(clock.monotonicMillis());
  }

  /**
   * Returns the latest time on the steady clock, up to a given one, at which certainly nobody else
   * held the cell, so that nobody else can have granted a lease at a worker.
   */
  long exclusiveUntil(long now) {
    return term.exclusiveUntil(now);
  }

  /** Returns the time since the last renewal that was granted was asked for, in milliseconds. */
  long millisSinceRenewal() {
    return term.renewalAge(clock.monotonicMillis());
  }

  /** Demands a renewal before any further order, as the process may have been suspended. */
  void requireRenewal() {
    term.requireRenewal();
    nextAt = 0;
  }

  void run() {
    long now = clock.monotonicMillis();
    retryLeftOut(now);
    boolean renewal =
        now - sentAt >= CellTiming.RENEWAL_INTERVAL_MILLIS || term.isRenewalRequired();
    boolean due = hasChanges() || releasing || renewal;
    if (!ended && !underWay && due && now >= nextAt) {
      send(now);
    }
  }

  private void retryLeftOut(long now) {
    if (underWay || now < nextLeftOutAt) {
      return;
    }
    nextLeftOutAt = now + LEFT_OUT_PAUSE_MILLIS;
    changed.addAll(leftOut);
  }

  private boolean hasChanges() {
    return !changed.isEmpty() || roster != null || !waiting.isEmpty() || !removals.isEmpty();
  }

  private void send(long now) {
    boolean last = releasing && fitsOneTransaction();
    Transaction transaction = gather(last);
    underWay = true;
    sentAt = now;
    doubtsWhenSent = term.requirementCount();
    if (last) {
      term.onReleaseSent();
      log.decided("lease", settings.cell(), "release sent", "version " + version);
    }
    store.transact(
        transaction,
        CellTiming.STORE_TIMEOUT_MILLIS,
        result -> onResult(result, now, transaction, last));
  }

  private boolean fitsOneTransaction() {
    int single = (roster == null ? 0 : 1) + (learned == null ? 0 : 1);
    return single + changed.size() <= mostRows;
  }

  private Transaction gather(boolean last) {
    List<Write> writes = new ArrayList<>();
    CellRecord record = lease.get();
    RowName leaseRow = CellRows.lease(settings.cell());
    writes.add(new Write(leaseRow, record.toBuilder().setReleased(last).build().toByteString()));
    sentRoster = roster;
    roster = null;
    if (sentRoster != null) {
      writes.add(new Write(CellRows.roster(settings.cell()), sentRoster.toByteString()));
    }
    if (learned != null && writes.size() <= mostRows) {
      writes.add(new Write(CellRows.learned(settings.cell()), learned.toByteString()));
      learned = null;
    }
    sentJobs = new LinkedHashSet<>();
    Set<Job> rest = new LinkedHashSet<>();
    for (Job job : changed) {
      if (writes.size() <= mostRows) {
        sentJobs.add(job);
        writes.add(new Write(JobRows.progress(job.id()), JobRows.encode(job)));
      } else {
        rest.add(job);
      }
    }
    changed = rest;
    // What waits for a job that was left out waits for the transaction after this.
    sentWaiting = rest.isEmpty() ? waiting : List.of();
    waiting = rest.isEmpty() ? new ArrayList<>() : waiting;
    int room = Math.min(removals.size(), mostRows + 1 - writes.size());
    List<RowName> removed = new ArrayList<>(removals.subList(0, Math.max(0, room)));
    removals = new ArrayList<>(removals.subList(removed.size(), removals.size()));
    return new Transaction(
        settings.cell(), List.of(new Condition(leaseRow, version)), writes, removed);
  }

  private void onResult(
      TransactionResult result, long startedAt, Transaction transaction, boolean last) {
    underWay = false;
    long now = clock.monotonicMillis();
    if (last || result.outcome() == Outcome.UNKNOWN || result.outcome() == Outcome.CONFLICT) {
      tell(result, transaction, now - startedAt, last);
    }
    setReachable(result.outcome() != Outcome.UNKNOWN && result.outcome() != Outcome.NOT_DONE);
    switch (result.outcome()) {
      case COMMITTED -> onCommitted(result.version(), startedAt, now, last);
      case REFUSED -> {
        if (last) {
          term.onReleaseNotDone();
        }
        onRefused(transaction, now);
      }
      case CONFLICT -> onConflict(result, transaction, now);
      case NOT_DONE -> {
        if (last) {
          term.onReleaseNotDone();
        }
        retry(transaction, now);
      }
      case UNKNOWN -> {
        if (last) {
          term.onReleaseUnknown();
        }
        retry(transaction, now);
      }
    }
  }

  private void retry(Transaction transaction, long now) {
    putBack(transaction);
    nextAt = now + RETRY_PAUSE_MILLIS;
  }

  private void tell(TransactionResult result, Transaction transaction, long millis, boolean last) {
    StringBuilder reason = new StringBuilder().append(millis).append(" ms, ");
    reason.append(transaction.writes().size()).append(" writes, expected version ").append(version);
    for (StoredRow row : result.current()) {
      CellRecord record = CellRows.lease(row.value()).orElse(CellRecord.getDefaultInstance());
      reason.append(", found ").append(record.getHolder()).append(" at ").append(row.version());
      reason.append(record.getReleased() ? " released" : "");
    }
    String kind = last ? "lease" : "journal";
    String outcome = (last ? "release " : "transaction ") + result.outcome();
    log.decided(kind, settings.cell(), outcome, reason.toString());
  }

  private void onCommitted(long newVersion, long startedAt, long now, boolean last) {
    if (last) {
      ended = true;
      listener.onReleased();
      return;
    }
    version = newVersion;
    term.renew(startedAt, doubtsWhenSent);
    onAccepted();
    nextAt = Math.max(startedAt + CellTiming.MIN_COMMIT_INTERVAL_MILLIS, now);
    sentJobs = Set.of();
    sentRoster = null;
    List<Runnable> stored = sentWaiting;
    sentWaiting = List.of();
    stored.forEach(Runnable::run);
  }

  /** Takes note that the rows of the last transaction are stored. */
  private void onAccepted() {
    leftOut.removeAll(sentJobs);
    rosterLeftOut &= sentRoster == null;
    mostRows = Math.min(MAX_ROWS - 1, 2 * mostRows);
  }

  /** Sends half of the rows next; a row that is refused alone is left out, so that others go on. */
  private void onRefused(Transaction transaction, long now) {
    int rows = transaction.writes().size() - 1 + transaction.removals().size();
    mostRows = Math.max(1, rows / 2);
    nextAt = rows > 0 ? now : now + RETRY_PAUSE_MILLIS;
    if (rows == 1) {
      leaveOut(transaction);
    }
    putBack(transaction);
    if (rows == 1) {
      removals.removeAll(transaction.removals());
    }
  }

  private void leaveOut(Transaction transaction) {
    for (Write write : transaction.writes().subList(1, transaction.writes().size())) {
      String size = write.value().size() + " bytes, not stored";
      log.decided("journal", write.row().key(), "row refused", write.row().table() + ", " + size);
    }
    transaction
        .removals()
        .forEach(row -> log.decided("journal", row.key(), "removal refused", row.table()));
    leftOut.addAll(sentJobs);
    sentJobs = Set.of();
    rosterLeftOut |= sentRoster != null;
    sentRoster = null;
    nextLeftOutAt = clock.monotonicMillis() + LEFT_OUT_PAUSE_MILLIS;
  }

  /** A conflict comes from another holder, or from a write of our own whose answer was lost. */
  private void onConflict(TransactionResult result, Transaction transaction, long now) {
    for (StoredRow row : result.current()) {
      CellRecord record = CellRows.lease(row.value()).orElse(null);
      boolean ours =
          record != null
              && record.getHolder().equals(settings.holderName())
              && record.getGeneration() == lease.get().getGeneration()
              && !record.getReleased();
      if (row.key().equals(settings.cell()) && ours) {
        version = row.version();
        putBack(transaction);
        nextAt = now;
        return;
      }
    }
    ended = true;
    listener.onDeposed("the row of the lease has another holder");
  }

  private void putBack(Transaction transaction) {
    Set<Job> all = new LinkedHashSet<>(sentJobs);
    all.addAll(changed);
    changed = all;
    List<Runnable> actions = new ArrayList<>(sentWaiting);
    actions.addAll(waiting);
    waiting = actions;
    sentWaiting = List.of();
    sentJobs = Set.of();
    if (roster == null) {
      roster = sentRoster;
    }
    removals.addAll(transaction.removals());
  }

  private void setReachable(boolean answers) {
    if (reachable != answers) {
      reachable = answers;
      listener.onStoreAvailability(answers);
    }
  }
}
