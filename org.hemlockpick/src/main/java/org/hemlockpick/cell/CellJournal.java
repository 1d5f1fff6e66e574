package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.Condition;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.cell.rows.TransactionRoom;
import org.hemlockpick.proto.CellRecord;
import org.hemlockpick.proto.LearnedRecord;
import org.hemlockpick.proto.RosterRecord;

/**
 * Writes the state of a cell's holder to the table service. Every transaction also rewrites the row
 * of the lease, on condition that nobody else has. It thereby renews the lease, and a previous
 * holder can write nothing. At most one transaction is in flight.
 */
final class CellJournal {
  /** Maximum number of rows in one transaction, including the row of the lease. */
  private static final int MAX_ROWS = 90;

  private static final long RETRY_PAUSE_MILLIS = 100;

  /**
   * Interval at which all refused jobs are sent again, as something else may have caused a refusal.
   */
  private static final long REFUSED_RETRY_PAUSE_MILLIS = 10_000;

  private final CellSettings settings;
  private final TableService store;
  private final LoopClock clock;
  private final Supplier<CellRecord> leaseRecord;
  private final DecisionLog log;
  private final CellMetrics metrics;
  private final Listener listener;
  private final LeaseValidity validity;

  private final SetAsideJobs setAsideJobs;
  private final JournalRows rows;
  private long leaseVersion;

  /** Maximum number of rows in the next transaction besides the row of the lease. */
  private int maxRows = MAX_ROWS - 1;

  /** Time on the monotonic clock from which the refused jobs are sent again. */
  private long nextRefusedRetryAt;

  private boolean inFlight;
  private boolean ended;
  private boolean releasing;
  private long sentAt;
  private int requirementsWhenSent;
  private long nextSendAt;
  private boolean storeAvailable = true;

  /**
   * Creates the journal of a holder.
   *
   * @param leaseVersion version of the row of the lease
   * @param requestedAt time on the monotonic clock at which the lease was requested
   */
  CellJournal(
      CellSettings settings,
      TableService store,
      LoopClock clock,
      long leaseVersion,
      long requestedAt,
      Supplier<CellRecord> leaseRecord,
      DecisionLog log,
      CellMetrics metrics,
      Listener listener) {
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.leaseVersion = leaseVersion;
    this.validity = new LeaseValidity(requestedAt);
    this.sentAt = requestedAt;
    this.leaseRecord = leaseRecord;
    this.log = log;
    this.metrics = metrics;
    this.listener = listener;
    SubmissionHider hider = new SubmissionHider(settings, store, log, this::markDirty);
    this.setAsideJobs = new SetAsideJobs(settings.cell(), settings.rowBytes());
    this.rows = new JournalRows(settings, setAsideJobs, log, hider::hide);
  }

  /** Is notified of the end of the lease and of the availability of the table service. */
  interface Listener {
    /** Called when another entry instance holds the cell. */
    void onDeposed(String reason);

    /** Called when the table service stops or resumes answering. */
    void onStoreAvailability(boolean answers);

    /** Called when the cell has been released as requested. */
    void onReleased();
  }

  /** Schedules the progress of a job to be written with the next transaction. */
  void markDirty(Job job) {
    rows.markDirty(job);
  }

  /** Returns whether the latest progress of a job is not stored, as the service refuses its row. */
  boolean isRefused(Job job) {
    return rows.isRefused(job);
  }

  /** Returns the jobs whose progress is stored in a row of the cell. */
  SetAsideJobs setAsideJobs() {
    return setAsideJobs;
  }

  /**
   * Has the progress of a job stored in a row of the cell, as its own rows are refused and its ends
   * hold up those of other jobs.
   */
  void setAside(Job job) {
    rows.setAside(job);
  }

  /** Returns the number of jobs whose latest progress is not stored, as it was refused. */
  int refusedJobs() {
    return rows.refusedCount();
  }

  /** Returns whether the latest roster is not stored, as the service refuses its row. */
  boolean isRosterRefused() {
    return rows.isRosterRefused();
  }

  /**
   * Schedules the roster, the workers that may run tasks, to be written with the next transaction.
   */
  void setRoster(RosterRecord newest) {
    rows.setRoster(newest);
  }

  /**
   * Schedules the learned state to be written with the next transaction; a failed write is not
   * retried.
   */
  void setLearned(LearnedRecord newest) {
    rows.setLearned(newest);
  }

  /** Schedules the progress of a job to be removed. */
  void remove(Job job) {
    rows.remove(job);
  }

  /** Schedules the rows of a job that has ended to be removed, but for the one that says so. */
  void removeFurtherRows(Job job) {
    rows.removeFurtherRows(job);
  }

  /** Schedules a row that belongs to no job to be removed. */
  void remove(RowName orphan) {
    rows.remove(orphan);
  }

  /**
   * Runs an action once all changes scheduled so far are stored or refused; immediately if none is
   * pending.
   */
  void whenStored(Runnable action) {
    if (rows.isStored() && !inFlight) {
      action.run();
      return;
    }
    rows.addAction(action);
  }

  /** Releases the cell with the next transaction that can hold all pending changes. */
  void release() {
    releasing = true;
    nextSendAt = 0;
  }

  /** Closes the journal: nothing more is written, and no order may be given. */
  void close() {
    ended = true;
  }

  /**
   * Returns whether an order may be given, as the lease was renewed recently enough.
   *
   * @param now time on the monotonic clock, from which a lease that the order grants must count
   */
  boolean allowsOrders(long now) {
    return !ended && validity.allowsOrders(now, clock.wallMillis());
  }

  /**
   * Returns whether an order that grants a lease at a worker may be given.
   *
   * @param now time on the monotonic clock, from which the lease must count
   */
  boolean mayGrantLeases(long now) {
    return allowsOrders(now) && grantMillisLeft(now) > 0;
  }

  /** Returns whether the last renewal is older than it can be while the table service answers. */
  boolean isRenewalLate(long now) {
    return validity.renewalAge(now) > CellTiming.LATE_RENEWAL_MILLIS;
  }

  /** Returns the time for which leases may still be granted without a renewal, in milliseconds. */
  long grantMillisLeft(long now) {
    return CellTiming.grantMillis(settings.workerLeaseMillis()) - validity.renewalAge(now);
  }

  /**
   * Returns whether the cell was lost or released: answers that arrive afterwards change nothing.
   */
  boolean hasEnded() {
    return ended;
  }

  /**
   * Returns whether every later holder will find the row of a job when it loads the jobs: the lease
   * was renewed after the row was written, or so recently that nobody can have taken it since.
   */
  boolean isVisibleToSuccessor(long rowVersion) {
    return leaseVersion > rowVersion || validity.isExclusive(clock.monotonicMillis());
  }

  /**
   * Returns the latest time on the monotonic clock, up to the given one, at which nobody else can
   * have held the cell, so that nobody else can have granted a lease at a worker.
   */
  long exclusiveUntil(long now) {
    return validity.exclusiveUntil(now);
  }

  /**
   * Returns the version of the newest renewal. It is a valid fencing token: higher than those of
   * all earlier holders and renewals, and lower than those of all later holders.
   */
  long renewalVersion() {
    return leaseVersion;
  }

  /** Returns the time since the last successful renewal was sent, in milliseconds. */
  long millisSinceRenewal() {
    return validity.renewalAge(clock.monotonicMillis());
  }

  /** Requires a renewal before any further order, as the process may have been suspended. */
  void requireRenewal() {
    validity.requireRenewal();
    nextSendAt = 0;
  }

  void run() {
    long now = clock.monotonicMillis();
    retryRefused(now);
    boolean renewal =
        now - sentAt >= CellTiming.RENEWAL_INTERVAL_MILLIS || validity.isRenewalRequired();
    boolean due = rows.hasChanges() || releasing || renewal;
    if (!ended && !inFlight && due && now >= nextSendAt) {
      send(now);
    }
  }

  private void retryRefused(long now) {
    if (inFlight || now < nextRefusedRetryAt) {
      return;
    }
    nextRefusedRetryAt = now + REFUSED_RETRY_PAUSE_MILLIS;
    rows.retryRefused();
  }

  private void send(long now) {
    CellRecord record = leaseRecord.get();
    TransactionRoom room = new TransactionRoom(maxRows + 1);
    room.take(record.toByteString());
    JournalRows.Batch batch = rows.build(room, leaseVersion);
    boolean isRelease = releasing && batch.isComplete();
    Transaction transaction = transaction(record, batch, isRelease);
    inFlight = true;
    sentAt = now;
    requirementsWhenSent = validity.requirementCount();
    if (isRelease) {
      validity.onReleaseSent();
      log.decided("lease", settings.cell(), "release sent", "version " + leaseVersion);
    }
    store.transact(
        transaction,
        CellTiming.STORE_TIMEOUT_MILLIS,
        result -> onResult(result, now, transaction, isRelease));
  }

  private Transaction transaction(CellRecord record, JournalRows.Batch batch, boolean isRelease) {
    RowName leaseRow = CellRows.lease(settings.cell());
    List<Write> writes = new ArrayList<>();
    writes.add(
        new Write(leaseRow, record.toBuilder().setReleased(isRelease).build().toByteString()));
    writes.addAll(batch.writes());
    return new Transaction(
        settings.cell(), List.of(new Condition(leaseRow, leaseVersion)), writes, batch.removals());
  }

  private void onResult(
      TransactionResult result, long startedAt, Transaction transaction, boolean isRelease) {
    inFlight = false;
    long now = clock.monotonicMillis();
    metrics.count("journal", result.outcome());
    metrics.record("journal.millis", now - startedAt);
    if (isRelease || result.outcome() == Outcome.UNKNOWN || result.outcome() == Outcome.CONFLICT) {
      logResult(result, transaction, now - startedAt, isRelease);
    }
    setStoreAvailable(result.outcome() != Outcome.UNKNOWN && result.outcome() != Outcome.NOT_DONE);
    switch (result.outcome()) {
      case COMMITTED -> onCommitted(result.version(), startedAt, now, isRelease);
      case REFUSED -> {
        if (isRelease) {
          validity.onReleaseNotDone();
        }
        onRefused(transaction, now);
      }
      case CONFLICT -> onConflict(result, transaction, now);
      case NOT_DONE -> {
        if (isRelease) {
          validity.onReleaseNotDone();
        }
        retry(transaction, now);
      }
      case UNKNOWN -> {
        if (isRelease) {
          validity.onReleaseUnknown();
        }
        retry(transaction, now);
      }
    }
  }

  private void retry(Transaction transaction, long now) {
    rows.requeue(transaction);
    nextSendAt = now + RETRY_PAUSE_MILLIS;
  }

  private void logResult(
      TransactionResult result, Transaction transaction, long millis, boolean isRelease) {
    StringBuilder reason = new StringBuilder().append(millis).append(" ms, ");
    reason
        .append(transaction.writes().size())
        .append(" writes, expected version ")
        .append(leaseVersion);
    for (StoredRow row : result.current()) {
      CellRecord record = CellRows.lease(row.value()).orElse(CellRecord.getDefaultInstance());
      reason.append(", found ").append(record.getHolder()).append(" at ").append(row.version());
      reason.append(record.getReleased() ? " released" : "");
    }
    String kind = isRelease ? "lease" : "journal";
    String outcome = (isRelease ? "release " : "transaction ") + result.outcome();
    log.decided(kind, settings.cell(), outcome, reason.toString());
  }

  private void onCommitted(long newVersion, long startedAt, long now, boolean isRelease) {
    if (isRelease) {
      ended = true;
      listener.onReleased();
      return;
    }
    leaseVersion = newVersion;
    validity.renew(startedAt, requirementsWhenSent);
    maxRows = Math.min(MAX_ROWS - 1, 2 * maxRows);
    nextSendAt = Math.max(startedAt + CellTiming.MIN_COMMIT_INTERVAL_MILLIS, now);
    rows.onStored().forEach(Runnable::run);
  }

  /**
   * Halves the number of rows in the next transaction. A row that is refused on its own is
   * excluded, so that the others can be stored.
   */
  private void onRefused(Transaction transaction, long now) {
    int count = transaction.writes().size() - 1 + transaction.removals().size();
    maxRows = Math.max(1, count / 2);
    nextSendAt = count > 0 ? now : now + RETRY_PAUSE_MILLIS;
    if (count == 1) {
      rows.excludeRefused(transaction, row -> logRefused(row, transaction));
    } else {
      rows.requeue(transaction);
    }
  }

  private void logRefused(RowName row, Transaction transaction) {
    for (Write write : transaction.writes()) {
      if (write.row().equals(row)) {
        String size = write.value().size() + " bytes, not stored";
        log.decided("journal", row.key(), "row refused", row.table() + ", " + size);
        return;
      }
    }
    log.decided("journal", row.key(), "removal refused", row.table());
  }

  /** Handles a conflict with another holder, or with an own write whose answer was lost. */
  private void onConflict(TransactionResult result, Transaction transaction, long now) {
    for (StoredRow row : result.current()) {
      CellRecord record = CellRows.lease(row.value()).orElse(null);
      boolean ours =
          record != null
              && record.getHolder().equals(settings.holderName())
              && record.getGeneration() == leaseRecord.get().getGeneration()
              && !record.getReleased();
      if (row.key().equals(settings.cell()) && ours) {
        leaseVersion = row.version();
        rows.requeue(transaction);
        nextSendAt = now;
        return;
      }
    }
    ended = true;
    listener.onDeposed("the row of the lease has another holder");
  }

  private void setStoreAvailable(boolean answers) {
    if (storeAvailable != answers) {
      storeAvailable = answers;
      listener.onStoreAvailability(answers);
    }
  }
}
