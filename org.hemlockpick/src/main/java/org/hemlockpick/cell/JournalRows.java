package org.hemlockpick.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.cell.rows.ProgressRows;
import org.hemlockpick.cell.rows.TransactionRoom;
import org.hemlockpick.proto.LearnedRecord;
import org.hemlockpick.proto.RosterRecord;
import org.jspecify.annotations.Nullable;

/**
 * The rows of a holder that are not stored yet, besides that of the lease. The jobs that have
 * changed are written in rounds: the actions that wait for a round run once all its rows are stored
 * or refused, over as many transactions as that takes. One transaction is built at a time.
 */
final class JournalRows {
  private final CellSettings settings;
  private final SetAsideJobs setAsideJobs;
  private final DecisionLog log;
  private final Listener listener;

  /** Jobs that are to be set aside as soon as they are hidden from earlier versions. */
  private final Set<Job> heldUp = new HashSet<>();

  /** Jobs that could not be set aside; this is tried again with their own rows. */
  private final Set<Job> notSetAside = new HashSet<>();

  /** Jobs that are set aside, of which the own rows are tried again. */
  private final Set<Job> retried = new HashSet<>();

  /** Jobs whose latest progress is not stored, as the service refuses it or it must wait. */
  private final Set<Job> refusedJobs = new HashSet<>();

  private boolean rosterRefused;

  /** Jobs and actions of the next round. */
  private final Set<Job> dirtyJobs = new LinkedHashSet<>();

  private final List<Runnable> pendingActions = new ArrayList<>();

  /** Jobs of this round whose rows have not been built yet. */
  private final Set<Job> round = new LinkedHashSet<>();

  private final List<Runnable> roundActions = new ArrayList<>();

  /** Rows of this round that have not been sent yet. */
  private final Deque<JobWrite> queue = new ArrayDeque<>();

  /** Rows of jobs in the transaction that was built last. */
  private final List<JobWrite> sent = new ArrayList<>();

  private final List<RowName> removals = new ArrayList<>();
  private @Nullable RosterRecord roster;
  private @Nullable RosterRecord sentRoster;
  private @Nullable LearnedRecord learned;

  /**
   * A row of a job, or the row of those that are set aside.
   *
   * @param jobs the job; or those of which the row has the newest progress
   * @param isLast whether the progress of the jobs is stored once this row is
   */
  private record JobWrite(List<Job> jobs, Write write, boolean isLast, boolean isAside) {}

  /** Is told of jobs whose rows may not fit. */
  interface Listener {
    /** Called for a job whose progress can soon not be stored unless it is hidden. */
    void onHidingNeeded(Job job);
  }

  /**
   * Rows of a transaction.
   *
   * @param isComplete whether nothing is left that could not be included
   */
  record Batch(List<Write> writes, List<RowName> removals, boolean isComplete) {}

  JournalRows(
      CellSettings settings, SetAsideJobs setAsideJobs, DecisionLog log, Listener listener) {
    this.settings = settings;
    this.setAsideJobs = setAsideJobs;
    this.log = log;
    this.listener = listener;
  }

  void markDirty(Job job) {
    dirtyJobs.add(job);
  }

  boolean isRefused(Job job) {
    return refusedJobs.contains(job);
  }

  boolean isRosterRefused() {
    return rosterRefused;
  }

  void setRoster(RosterRecord newest) {
    roster = newest;
  }

  void setLearned(LearnedRecord newest) {
    learned = newest;
  }

  void addAction(Runnable action) {
    pendingActions.add(action);
  }

  void remove(RowName row) {
    removals.add(row);
  }

  /** Schedules all rows of a job to be removed. */
  void remove(Job job) {
    refusedJobs.remove(job);
    heldUp.remove(job);
    notSetAside.remove(job);
    setAsideJobs.remove(job);
    removals.add(ProgressRows.row(job.id()));
    removeFurtherRows(job);
  }

  /** Schedules the rows of a job that has ended to be removed, but for the one that says so. */
  void removeFurtherRows(Job job) {
    removals.addAll(job.rows().furtherRows());
    job.rows().clearFurtherRows();
  }

  /** Schedules the refused jobs to be sent again, and the own rows of those that are set aside. */
  void retryRefused() {
    notSetAside.clear();
    retried.addAll(setAsideJobs.members());
    dirtyJobs.addAll(setAsideJobs.members());
    dirtyJobs.addAll(refusedJobs);
  }

  /** Has a job set aside whose rows are refused, as its ends hold up those of other jobs. */
  void setAside(Job job) {
    boolean isPossible = !notSetAside.contains(job) && !job.rows().needsHiding();
    if (isPossible && refusedJobs.contains(job) && heldUp.add(job)) {
      dirtyJobs.add(job);
      log.decided("job", job.id(), "to be set aside", "its ends hold up those of others");
    }
  }

  /** Returns the number of jobs whose latest progress is not stored, as it was refused. */
  int refusedCount() {
    return refusedJobs.size();
  }

  /** Returns whether no change is left that an action would have to wait for. */
  boolean isStored() {
    boolean areJobsStored = dirtyJobs.isEmpty() && round.isEmpty() && queue.isEmpty();
    return areJobsStored && roster == null && !setAsideJobs.isOutdated();
  }

  boolean hasChanges() {
    boolean hasActions = !pendingActions.isEmpty() || !roundActions.isEmpty();
    return !isStored() || hasActions || !removals.isEmpty();
  }

  /**
   * Returns the rows of the next transaction, as many as there is room for.
   *
   * @param leaseVersion version of the lease's row
   */
  Batch build(TransactionRoom room, long leaseVersion) {
    List<Write> writes = new ArrayList<>();
    sent.clear();
    sentRoster = roster;
    roster = null;
    if (sentRoster != null) {
      Write write = new Write(CellRows.roster(settings.cell()), sentRoster.toByteString());
      room.take(write.value());
      writes.add(write);
    }
    if (learned != null) {
      Write write = new Write(CellRows.learned(settings.cell()), learned.toByteString());
      if (room.tryTake(write)) {
        writes.add(write);
        learned = null;
      }
    }
    takeJobs(room, leaseVersion);
    sent.forEach(row -> writes.add(row.write()));
    List<RowName> removed = takeRemovals(room);
    return new Batch(writes, removed, isStored() && learned == null);
  }

  private void takeJobs(TransactionRoom room, long leaseVersion) {
    if (round.isEmpty() && queue.isEmpty()) {
      round.addAll(dirtyJobs);
      dirtyJobs.clear();
      roundActions.addAll(pendingActions);
      pendingActions.clear();
      setJobsAside(leaseVersion);
    }
    while (!queue.isEmpty() || !round.isEmpty()) {
      if (queue.isEmpty()) {
        buildRows(removeFirst(round), leaseVersion);
      } else if (room.tryTake(queue.element().write())) {
        sent.add(queue.remove());
      } else {
        return;
      }
    }
  }

  private static Job removeFirst(Set<Job> jobs) {
    Iterator<Job> each = jobs.iterator();
    Job first = each.next();
    each.remove();
    return first;
  }

  private void buildRows(Job job, long leaseVersion) {
    ProgressRows.Form before = job.rows().form();
    List<Write> rows =
        job.rows().rows(JobRows.progress(job), settings.rowBytes(), leaseVersion).orElse(List.of());
    if (rows.isEmpty()) {
      refusedJobs.add(job);
    }
    if (job.rows().form() != before) {
      log.decided("job", job.id(), "rows " + job.rows().form(), rows.size() + " rows");
    }
    for (int i = 0; i < rows.size(); i++) {
      queue.add(new JobWrite(List.of(job), rows.get(i), i == rows.size() - 1, false));
    }
    if (job.rows().needsHiding() || (heldUp.contains(job) && !job.rows().isHidden())) {
      listener.onHidingNeeded(job);
    }
  }

  /** Builds the row of the jobs that are set aside, with the progress of all, if it is due. */
  private void setJobsAside(long leaseVersion) {
    round.stream()
        .filter(job -> job.rows().isHidden() && heldUp.remove(job))
        .forEach(setAsideJobs::add);
    if (round.stream().noneMatch(this::isWrittenAside) && !setAsideJobs.isOutdated()) {
      return;
    }
    Set<Job> left = new HashSet<>(setAsideJobs.members());
    SetAsideJobs.Row row = setAsideJobs.row(leaseVersion);
    queue.add(new JobWrite(row.newest(), row.write(), true, true));
    left.removeAll(row.newest());
    left.forEach(job -> log.decided("job", job.id(), "not set aside", "no room"));
    refusedJobs.addAll(left);
    notSetAside.addAll(left);
    round.removeIf(this::isWrittenAside);
  }

  /** Returns whether the progress of a job is written to the row of those that are set aside. */
  private boolean isWrittenAside(Job job) {
    return setAsideJobs.contains(job) && !retried.contains(job) && !notSetAside.contains(job);
  }

  private List<RowName> takeRemovals(TransactionRoom room) {
    List<RowName> taken = new ArrayList<>();
    while (taken.size() < removals.size() && room.tryTake(removals.get(taken.size()))) {
      taken.add(removals.get(taken.size()));
    }
    removals.subList(0, taken.size()).clear();
    return taken;
  }

  /** Records that the transaction was applied; returns the actions that waited for it. */
  List<Runnable> onStored() {
    rosterRefused &= sentRoster == null;
    sentRoster = null;
    if (sent.stream().anyMatch(JobWrite::isAside)) {
      setAsideJobs.onStored();
    }
    sent.forEach(this::onStored);
    sent.clear();
    if (!round.isEmpty() || !queue.isEmpty()) {
      return List.of();
    }
    List<Runnable> actions = List.copyOf(roundActions);
    roundActions.clear();
    return actions;
  }

  private void onStored(JobWrite row) {
    for (Job job : row.jobs()) {
      if (!row.isAside()) {
        job.rows().onStored(row.write());
      }
      if (!row.isLast()) {
        continue;
      }
      refusedJobs.remove(job);
      heldUp.remove(job);
      if (!row.isAside()) {
        retried.remove(job);
        setAsideJobs.remove(job);
      }
      if (job.state().isFinal() && !dirtyJobs.contains(job)) {
        removeFurtherRows(job);
      }
    }
  }

  /** Schedules the rows of a transaction that was not applied to be written again. */
  void requeue(Transaction transaction) {
    Set<Job> all = new LinkedHashSet<>();
    sent.forEach(row -> all.addAll(row.jobs()));
    queue.forEach(row -> all.addAll(row.jobs()));
    if (sent.stream().anyMatch(JobWrite::isAside) || queue.stream().anyMatch(JobWrite::isAside)) {
      setAsideJobs.setOutdated();
    }
    all.addAll(round);
    all.addAll(dirtyJobs);
    dirtyJobs.clear();
    dirtyJobs.addAll(all);
    sent.clear();
    queue.clear();
    round.clear();
    pendingActions.addAll(0, roundActions);
    roundActions.clear();
    if (roster == null) {
      roster = sentRoster;
    }
    sentRoster = null;
    removals.addAll(transaction.removals());
  }

  /**
   * Handles that the only row of a transaction besides the lease was refused. It is excluded, so
   * that the others can be stored, unless it belongs to a job that has smaller rows.
   *
   * @param log is told the rows that are excluded
   */
  void excludeRefused(Transaction transaction, Consumer<RowName> log) {
    for (JobWrite row : sent) {
      if (!row.isAside() && row.jobs().get(0).rows().shrink(row.write())) {
        requeue(transaction);
        return;
      }
    }
    transaction.writes().stream().skip(1).map(Write::row).forEach(log);
    transaction.removals().forEach(log);
    Set<Job> refused = new HashSet<>();
    sent.forEach(row -> refused.addAll(row.jobs()));
    boolean isAsideRefused = sent.stream().anyMatch(JobWrite::isAside);
    refusedJobs.addAll(refused);
    rosterRefused |= sentRoster != null;
    sentRoster = null;
    requeue(transaction);
    if (isAsideRefused) {
      notSetAside.addAll(refused);
      setAsideJobs.onRefused();
    }
    retried.removeAll(refused);
    // Those that are set aside are written there again, as their own rows are refused still.
    dirtyJobs.removeIf(job -> refused.contains(job) && !isWrittenAside(job));
    removals.removeAll(transaction.removals());
  }
}
