package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Set;
import org.hemlockpick.cell.WorkerPort.EndReport;
import org.hemlockpick.cell.WorkerPort.HoldCall;
import org.hemlockpick.cell.WorkerPort.HoldReply;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a call to every worker under way that extends the lease of what runs there and brings its
 * reports. An end is confirmed to the worker once it is stored.
 */
final class HoldSystem {
  /** Wait of a worker with runs for an end, in milliseconds. */
  private static final long WAIT_MILLIS = 1_000;

  /** Wait where a serving task is not far from its target, so that fillers may have to yield. */
  private static final long BUSY_WAIT_MILLIS = 450;

  /** Time before leases cannot be granted any more at which they are extended once more. */
  private static final long LAST_GRANT_MILLIS = 150;

  /** Tail of a serving task from which its worker is asked more often, as a share of the target. */
  private static final double BUSY = 0.3;

  /** Time beside its wait after which a call counts as failed, in milliseconds. */
  private static final long LATE_MILLIS = 700;

  /** Pause between two looks at a worker without runs. */
  private static final long IDLE_PAUSE_MILLIS = 3_000;

  /** Pause before a worker that has ends which are not stored yet is asked again. */
  private static final long UNSTORED_PAUSE_MILLIS = 400;

  private static final long RETRY_MILLIS = 250;

  /** Pause before a worker that was told to stop a run of an unknown task is asked again. */
  private static final long UNKNOWN_PAUSE_MILLIS = 200;

  /** Pause before a report that leaves something open is asked for again. */
  private static final long OPEN_PAUSE_MILLIS = 50;

  /**
   * First the leases that end soonest. Behind those of workers that answer come the workers that do
   * not, and then those at which nothing runs.
   */
  private static final Comparator<Worker> BY_URGENCY =
      Comparator.comparing((Worker worker) -> worker.extendedAt() == Long.MAX_VALUE)
          .thenComparing(Worker::isSilent)
          .thenComparing(worker -> !worker.isFirstExtensionDue())
          .thenComparingLong(Worker::extendedAt)
          .thenComparingLong(Worker::nextHoldAt);

  private final CellSettings settings;
  private final long token;
  private final WorkerPort port;
  private final TaskRunner runner;
  private final CellJournal journal;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Listener listener;
  private final CallWindow window = new AdaptiveWindow();

  /** Calls under way that do not count as failed yet. */
  private final Set<Asked> awaited = new LinkedHashSet<>();

  /** Hears of the answers. */
  interface Listener {
    /**
     * Takes note that a worker has told for the first time all that an earlier holder left there.
     */
    void onFirstReport(Worker worker);

    /** Takes note that a worker was given up or answers again. */
    void onSilenceChanged(Worker worker);

    /** Takes note that a worker has seen a higher fencing token. */
    void onFenced(Worker worker);

    /**
     * Takes note that a worker started anew under its identifier.
     *
     * @param evidence what shows it, for the log
     */
    void onStartedAnew(Worker worker, String evidence);

    /** Takes note that another worker has its address: nothing that ran on it is left. */
    void onReplaced(Worker worker);

    /** Takes note that runs were reported. */
    void onReport(Worker worker);
  }

  HoldSystem(
      CellSettings settings,
      long token,
      WorkerPort port,
      TaskRunner runner,
      CellJournal journal,
      LoopClock clock,
      DecisionLog log,
      Listener listener) {
    this.settings = settings;
    this.token = token;
    this.port = port;
    this.runner = runner;
    this.journal = journal;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
  }

  void run(Iterable<Worker> workers) {
    long now = clock.monotonicMillis();
    giveUpLate(now);
    if (!journal.allowsOrders(now)) {
      return;
    }
    List<Worker> due = new ArrayList<>();
    for (Worker worker : workers) {
      if (!worker.isHolding() && now >= worker.nextHoldAt()) {
        due.add(worker);
      }
    }
    due.sort(BY_URGENCY);
    for (Worker worker : due) {
      if (!window.isOpen(now)) {
        return;
      }
      hold(worker, now);
    }
  }

  private void hold(Worker worker, long now) {
    long lease = settings.workerLeaseMillis();
    boolean isExtended =
        worker.mayBeExtended(now, lease, journal.isRenewalLate(now)) && journal.mayGrantLeases(now);
    @Nullable Long until = isExtended ? (Long) worker.extendLease(now, lease) : null;
    long wait = wait(worker, journal.grantMillisLeft(now));
    long confirmed = worker.endToConfirm(now);
    if (confirmed > 0 && worker.isConfirmationDue()) {
      String boot = "to the boot born " + worker.entry().bornMillis();
      log.decided("worker", worker.id(), "ends confirmed", "up to " + confirmed + " " + boot);
    }
    worker.setHolding(true);
    HoldCall call = new HoldCall(token, confirmed, until, wait);
    Asked asked = new Asked(worker, call, window.begin(now, wait, worker.isSilent()), now);
    awaited.add(asked);
    port.hold(worker.target(), call, reply -> onReply(asked, reply));
  }

  /** Counts calls whose answers are late as failed; what they bring is taken all the same. */
  private void giveUpLate(long now) {
    for (Asked asked : List.copyOf(awaited)) {
      if (now >= asked.lateAt()) {
        awaited.remove(asked);
        window.end(asked.sent, false, now);
        asked.worker.setHolding(false);
        onFailure(asked.worker, asked.call, OrderOutcome.LOST, now);
      }
    }
  }

  /**
   * Returns for how long a call waits for an end. Leases are extended once more shortly before they
   * cannot be, and soon after they can be again.
   */
  private static long wait(Worker worker, long grantingLeft) {
    boolean atOnce =
        worker.runs().isEmpty()
            || !worker.isFenced()
            || worker.isSilent()
            || worker.isStoredAsSilent()
            || worker.recordedEnd() < worker.lastEnd()
            || worker.isConfirmationDue()
            || worker.hasUnknownRuns()
            || needsProof(worker);
    if (atOnce) {
      return 0;
    }
    boolean isBusy = Interference.worstLoad(worker) >= BUSY;
    if (isBusy || grantingLeft <= LAST_GRANT_MILLIS) {
      return BUSY_WAIT_MILLIS;
    }
    return Math.min(WAIT_MILLIS, grantingLeft - LAST_GRANT_MILLIS);
  }

  /** Tells whether a run was stopped, and only a report can tell whether it was there at all. */
  private static boolean needsProof(Worker worker) {
    for (Run run : worker.runs()) {
      if (run.state() == Run.State.STOPPING && run.knownSince() != Long.MAX_VALUE) {
        return true;
      }
    }
    return false;
  }

  private void onReply(Asked asked, HoldReply reply) {
    if (journal.hasEnded()) {
      return;
    }
    long now = clock.monotonicMillis();
    Worker worker = asked.worker;
    if (!awaited.remove(asked)) {
      onLateReply(asked, reply, now);
      return;
    }
    window.end(asked.sent, reply.outcome() != OrderOutcome.LOST, now);
    worker.setHolding(false);
    switch (reply.outcome()) {
      case ACCEPTED -> onReport(worker, asked.call, reply, asked.askedAt, now);
      case FENCED -> listener.onFenced(worker);
      case OTHER_BOOT -> {
        worker.setNextHoldAt(now + RETRY_MILLIS);
        listener.onReplaced(worker);
      }
      default -> onFailure(worker, asked.call, reply.outcome(), now);
    }
  }

  /** Takes an answer whose call counts as failed, unless a later call was answered before. */
  private void onLateReply(Asked asked, HoldReply reply, long now) {
    Worker worker = asked.worker;
    if (reply.outcome() != OrderOutcome.ACCEPTED && asked.call.leaseUntilMillis() != null) {
      // It may have been carried out up to now.
      worker.onExtensionLost(now, settings.workerLeaseMillis());
    }
    if (reply.outcome() == OrderOutcome.FENCED) {
      listener.onFenced(worker);
    } else if (reply.outcome() == OrderOutcome.ACCEPTED
        && !worker.isRemoved()
        && asked.askedAt > worker.answeredAfter()) {
      onReport(worker, asked.call, reply, asked.askedAt, now);
      replaceTrial(worker);
    }
  }

  /** Lets a call that extends the leases follow at once on one that was sent without. */
  private void replaceTrial(Worker worker) {
    for (Asked asked : List.copyOf(awaited)) {
      if (asked.worker == worker && asked.call.leaseUntilMillis() == null) {
        awaited.remove(asked);
        window.end(asked.sent, false, asked.askedAt);
        worker.setHolding(false);
      }
    }
  }

  private void onFailure(Worker worker, HoldCall call, OrderOutcome outcome, long now) {
    if (call.leaseUntilMillis() != null) {
      worker.onExtensionLost(now, settings.workerLeaseMillis());
    }
    boolean isFirst = !worker.isSilent();
    boolean wasGivenUp = worker.isGivenUp();
    worker.addHoldFailure();
    if (isFirst) {
      log.decided("worker", worker.id(), "not reached", outcome.name());
    }
    if (worker.isGivenUp() && !wasGivenUp) {
      log.decided("worker", worker.id(), "given up", worker.holdFailures() + " failed calls");
      listener.onSilenceChanged(worker);
    }
    worker.setNextHoldAt(now + RETRY_MILLIS);
  }

  private void onReport(Worker worker, HoldCall call, HoldReply reply, long askedAt, long now) {
    long born = worker.entry().bornMillis();
    if (reply.bornMillis() != 0 && reply.bornMillis() < born) {
      // The answer of a boot that has ended.
      worker.setNextHoldAt(now);
      return;
    }
    if (born != 0 && reply.bornMillis() > born) {
      listener.onStartedAnew(worker, "born " + reply.bornMillis() + " in its answer");
    }
    if (reply.bornMillis() > born) {
      worker.setBorn(reply.bornMillis());
    }
    boolean wasGivenUp = worker.isGivenUp();
    if (worker.isSilent()) {
      log.decided("worker", worker.id(), "reached again", worker.holdFailures() + " failed calls");
    }
    worker.answered(askedAt);
    if (call.leaseUntilMillis() != null) {
      worker.setExtended(askedAt);
    }
    if (reply.bornMillis() == born) {
      worker.onConfirmed(call.endsSeen());
    }
    if (wasGivenUp) {
      listener.onSilenceChanged(worker);
    }
    if (!worker.isFenced()) {
      log.decided("worker", worker.id(), "first answer", firstAnswer(reply, now - askedAt));
    }
    worker.sawClock(reply.clockMillis(), now);
    long before = worker.lastEnd();
    runner.onReport(worker, reply, askedAt);
    if (!worker.isFenced()) {
      worker.setFenced(now, settings.workerLeaseMillis());
    }
    if (reply.isWhole() && !worker.hasToldAll()) {
      worker.setToldAll();
      listener.onFirstReport(worker);
    }
    listener.onReport(worker);
    worker.setNextHoldAt(now + pause(worker, reply));
    if (worker.lastEnd() > before || worker.recordedEnd() < worker.lastEnd()) {
      confirm(worker);
    }
  }

  private static String firstAnswer(HoldReply reply, long age) {
    String boot = "clock " + reply.clockMillis() + ", born " + reply.bornMillis();
    String runs = ", " + reply.running().size() + " runs, " + reply.ended().size() + " ends";
    LongSummaryStatistics numbers =
        reply.ended().stream().mapToLong(EndReport::number).summaryStatistics();
    String range =
        reply.ended().isEmpty() ? "" : " from " + numbers.getMin() + " to " + numbers.getMax();
    return boot + runs + range + ", " + age + " ms after it was asked";
  }

  private static long pause(Worker worker, HoldReply reply) {
    if (worker.isFirstExtensionDue()) {
      return 0;
    }
    if (worker.recordedEnd() < worker.lastEnd() || worker.hasFailedEnds()) {
      return UNSTORED_PAUSE_MILLIS;
    }
    if (worker.isConfirmationDue()) {
      return 0;
    }
    if (!reply.isWhole() || needsProof(worker)) {
      return OPEN_PAUSE_MILLIS;
    }
    if (worker.hasUnknownRuns()) {
      return UNKNOWN_PAUSE_MILLIS;
    }
    if (worker.runs().isEmpty()) {
      return IDLE_PAUSE_MILLIS;
    }
    // Once it is stored as open it is asked at once.
    return worker.isStoredAsSilent() ? RETRY_MILLIS : 0;
  }

  private void confirm(Worker worker) {
    long end = worker.lastEnd();
    long born = worker.entry().bornMillis();
    journal.whenStored(
        () -> {
          long stored = worker.lastStoredEnd(end, journal::isRefused);
          boolean sameBoot = worker.entry().bornMillis() == born && worker.lastEnd() >= end;
          if (sameBoot && stored > worker.recordedEnd()) {
            worker.setRecordedEnd(stored);
            worker.setNextHoldAt(Math.min(worker.nextHoldAt(), clock.monotonicMillis()));
          }
        });
  }

  /** A call to a worker. Each is one of its own, also if two are alike. */
  private static final class Asked {
    private final Worker worker;
    private final HoldCall call;
    private final CallWindow.Call sent;
    private final long askedAt;

    Asked(Worker worker, HoldCall call, CallWindow.Call sent, long askedAt) {
      this.worker = worker;
      this.call = call;
      this.sent = sent;
      this.askedAt = askedAt;
    }

    long lateAt() {
      return askedAt + call.waitMillis() + LATE_MILLIS;
    }
  }
}
