package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Set;
import org.hemlockpick.cell.WorkerPort.CompletionReport;
import org.hemlockpick.cell.WorkerPort.HoldCall;
import org.hemlockpick.cell.WorkerPort.HoldReply;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a hold call to every worker in flight, which extends the lease of the runs there and
 * returns its reports. A completion is acknowledged to the worker once it is stored.
 */
final class WorkerPoller {
  /**
   * Time for which a worker with runs waits for a completion before it answers, in milliseconds.
   */
  private static final long HOLD_WAIT_MILLIS = 1_000;

  /**
   * The same if a serving task is not far from its target, so that fillers may have to be
   * throttled.
   */
  private static final long BUSY_HOLD_WAIT_MILLIS = 450;

  /**
   * Time before leases can no longer be granted at which they are extended once more, in
   * milliseconds.
   */
  private static final long LAST_EXTENSION_MARGIN_MILLIS = 150;

  /**
   * Tail latency of a serving task, relative to its target, from which its worker is polled more
   * often.
   */
  private static final double BUSY_TAIL_RATIO = 0.3;

  /** Time beyond its wait after which a call counts as failed, in milliseconds. */
  private static final long LATE_AFTER_MILLIS = 700;

  /** Interval between calls to a worker without runs, in milliseconds. */
  private static final long IDLE_INTERVAL_MILLIS = 3_000;

  /**
   * Delay before polling again a worker with completions that are not stored yet, in milliseconds.
   */
  private static final long UNSTORED_INTERVAL_MILLIS = 400;

  private static final long RETRY_MILLIS = 250;

  /**
   * Delay before polling again a worker that was told to stop a run of an unknown task, in
   * milliseconds.
   */
  private static final long UNKNOWN_RUNS_INTERVAL_MILLIS = 200;

  /** Delay before requesting again a report that was incomplete, in milliseconds. */
  private static final long INCOMPLETE_INTERVAL_MILLIS = 50;

  /**
   * Orders workers by lease expiry, earliest first. Workers that answer come before unresponsive
   * ones, and those without runs come last.
   */
  private static final Comparator<Worker> BY_URGENCY =
      Comparator.comparing((Worker worker) -> worker.extendedAt() == Long.MAX_VALUE)
          .thenComparing(Worker::isUnresponsive)
          .thenComparing(worker -> !worker.isFirstExtensionDue())
          .thenComparingLong(Worker::extendedAt)
          .thenComparingLong(Worker::nextHoldAt);

  private final CellSettings settings;
  private final long token;
  private final WorkerPort port;
  private final RunReconciler reconciler;
  private final CrashTracker crashes;
  private final CellJournal journal;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Listener listener;
  private final EndRecorder endRecorder;
  private final CallWindow window = new AdaptiveWindow();

  /** Calls in flight that do not count as failed yet. */
  private final Set<HoldInFlight> inFlight = new LinkedHashSet<>();

  /** Receives the outcomes of the calls. */
  interface Listener {
    /**
     * Called when a worker has for the first time reported everything that an earlier holder left
     * there.
     */
    void onFirstFullReport(Worker worker);

    /** Called when a worker became unreachable or answers again. */
    void onReachabilityChanged(Worker worker);

    /** Called when a worker has seen a higher fencing token. */
    void onFenced(Worker worker);

    /**
     * Called when a worker restarted under its identifier.
     *
     * @param evidence what shows the restart, for the log
     */
    void onRestarted(Worker worker, String evidence);

    /** Called when another worker has its address: none of its runs is left. */
    void onReplaced(Worker worker);

    /** Called when a worker has reported its runs. */
    void onReport(Worker worker);
  }

  WorkerPoller(
      CellSettings settings,
      long token,
      WorkerPort port,
      RunReconciler reconciler,
      CrashTracker crashes,
      CellJournal journal,
      LoopClock clock,
      DecisionLog log,
      Listener listener) {
    this.settings = settings;
    this.token = token;
    this.port = port;
    this.reconciler = reconciler;
    this.crashes = crashes;
    this.journal = journal;
    this.endRecorder = new EndRecorder(journal, clock);
    this.clock = clock;
    this.log = log;
    this.listener = listener;
  }

  void run(Iterable<Worker> workers) {
    long now = clock.monotonicMillis();
    failLateCalls(now);
    if (!journal.allowsOrders(now)) {
      return;
    }
    List<Worker> due = new ArrayList<>();
    for (Worker worker : workers) {
      if (!worker.isHoldInFlight() && now >= worker.nextHoldAt()) {
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
    long wait = holdWait(worker, journal.grantMillisLeft(now));
    long acknowledged = worker.boots().completionToAcknowledge(worker, now);
    if (acknowledged > 0 && worker.completions().isAcknowledgementDue()) {
      String boot = "to the boot born " + worker.entry().bootTimeMillis();
      log.decided("worker", worker.id(), "ends confirmed", "up to " + acknowledged + " " + boot);
    }
    worker.setHoldInFlight(true);
    HoldCall call = new HoldCall(worker.token(token), acknowledged, until, wait);
    HoldInFlight hold =
        new HoldInFlight(worker, call, window.begin(now, wait, worker.isUnresponsive()), now);
    inFlight.add(hold);
    port.hold(worker.target(), call, reply -> onReply(hold, reply));
  }

  /** Counts calls whose answers are late as failed; a late answer is still processed. */
  private void failLateCalls(long now) {
    for (HoldInFlight hold : List.copyOf(inFlight)) {
      if (now >= hold.lateAt()) {
        inFlight.remove(hold);
        window.end(hold.windowCall, false, now);
        hold.worker.setHoldInFlight(false);
        crashes.onCallFailed(hold.worker, false);
        onFailure(hold.worker, hold.call, OrderOutcome.LOST, now);
      }
    }
  }

  /**
   * Returns how long a call waits for a completion. Leases are extended once more shortly before
   * they cannot be, and soon after they can be again.
   */
  private long holdWait(Worker worker, long grantMillisLeft) {
    boolean answersAtOnce =
        worker.runs().isEmpty()
            || !worker.hasAcknowledgedToken()
            || worker.isUnresponsive()
            || worker.isStoredAsUnreachable()
            || worker.completions().hasUnrecorded()
            || worker.hasUnknownRuns()
            || worker.boots().isInDoubt()
            || hasUnprovenStop(worker);
    if (answersAtOnce) {
      return 0;
    }
    boolean isBusy = InterferenceModel.worstTailRatio(worker) >= BUSY_TAIL_RATIO;
    if (isBusy || grantMillisLeft <= LAST_EXTENSION_MARGIN_MILLIS) {
      return BUSY_HOLD_WAIT_MILLIS;
    }
    return Math.min(HOLD_WAIT_MILLIS, grantMillisLeft - LAST_EXTENSION_MARGIN_MILLIS);
  }

  /** Returns whether a run was stopped and only a report can show whether it exists at all. */
  private boolean hasUnprovenStop(Worker worker) {
    for (Run run : worker.runs()) {
      if (run.state() == Run.State.STOPPING && run.canBeProvenGone(worker.token(token))) {
        return true;
      }
    }
    return false;
  }

  private void onReply(HoldInFlight hold, HoldReply reply) {
    if (journal.hasEnded()) {
      return;
    }
    long now = clock.monotonicMillis();
    Worker worker = hold.worker;
    if (!inFlight.remove(hold)) {
      onLateReply(hold, reply, now);
      return;
    }
    window.end(hold.windowCall, reply.outcome() != OrderOutcome.LOST, now);
    worker.setHoldInFlight(false);
    switch (reply.outcome()) {
      case ACCEPTED -> onAnswer(hold, reply, now);
      case FENCED -> onFenced(hold, now);
      case OTHER_BOOT -> {
        worker.setNextHoldAt(now + RETRY_MILLIS);
        listener.onReplaced(worker);
      }
      default -> {
        crashes.onCallFailed(worker, reply.outcome() == OrderOutcome.LOST);
        onFailure(worker, hold.call, reply.outcome(), now);
      }
    }
  }

  /** Handles a call that was refused for its fencing token, which may be outdated by now. */
  private void onFenced(HoldInFlight hold, long now) {
    Worker worker = hold.worker;
    if (hold.call.token() < worker.token(token)) {
      worker.setNextHoldAt(now);
      return;
    }
    listener.onFenced(worker);
  }

  /** Handles an answer whose call counts as failed, unless a later call was answered before. */
  private void onLateReply(HoldInFlight hold, HoldReply reply, long now) {
    Worker worker = hold.worker;
    if (reply.outcome() != OrderOutcome.ACCEPTED && hold.call.leaseUntilMillis() != null) {
      // It may have been carried out up to now.
      worker.onExtensionLost(now, settings.workerLeaseMillis());
    }
    if (reply.outcome() == OrderOutcome.FENCED) {
      onFenced(hold, now);
    } else if (reply.outcome() == OrderOutcome.ACCEPTED
        && !worker.isRemoved()
        && hold.sentAt > worker.lastAnswerSentAt()
        && onAnswer(hold, reply, now)) {
      dropCallsWithoutLease(worker);
    }
  }

  /**
   * Drops a call that was sent without a lease, so that one that extends the leases follows at
   * once.
   */
  private void dropCallsWithoutLease(Worker worker) {
    for (HoldInFlight hold : List.copyOf(inFlight)) {
      if (hold.worker == worker && hold.call.leaseUntilMillis() == null) {
        inFlight.remove(hold);
        window.end(hold.windowCall, false, hold.sentAt);
        worker.setHoldInFlight(false);
      }
    }
  }

  private void onFailure(Worker worker, HoldCall call, OrderOutcome outcome, long now) {
    if (call.leaseUntilMillis() != null) {
      worker.onExtensionLost(now, settings.workerLeaseMillis());
    }
    boolean isFirst = !worker.isUnresponsive();
    boolean wasUnreachable = worker.isUnreachable();
    worker.addHoldFailure();
    if (isFirst) {
      log.decided("worker", worker.id(), "not reached", outcome.name());
    }
    if (worker.isUnreachable() && !wasUnreachable) {
      log.decided("worker", worker.id(), "given up", worker.holdFailures() + " failed calls");
      listener.onReachabilityChanged(worker);
    }
    worker.setNextHoldAt(now + RETRY_MILLIS);
  }

  /**
   * Handles an answer. One of another boot than the known one is of a later boot, or is passed over
   * if it may be of an earlier one: the worker is asked again at once, which decides.
   *
   * @return whether it counts as an answer
   */
  private boolean onAnswer(HoldInFlight hold, HoldReply reply, long now) {
    Worker worker = hold.worker;
    long known = worker.entry().bootTimeMillis();
    long boot = reply.bootTimeMillis();
    boolean isOther = boot != 0 && boot != known;
    if (isOther && known != 0 && !worker.boots().isConclusive(hold.sentAt)) {
      passOver(hold, boot, now);
      return false;
    }
    if (isOther) {
      setBoot(worker, boot, now);
    } else {
      worker.boots().onConfirmed(hold.sentAt);
    }
    onReport(worker, hold.call, reply, hold.sentAt, now, boot == known);
    return true;
  }

  private void passOver(HoldInFlight hold, long boot, long now) {
    Worker worker = hold.worker;
    String reason = "born " + boot + ", known is " + worker.entry().bootTimeMillis();
    log.decided("worker", worker.id(), "answer passed over", reason);
    if (hold.call.leaseUntilMillis() != null) {
      // It may have been carried out up to now.
      worker.onExtensionLost(now, settings.workerLeaseMillis());
    }
    worker.setNextHoldAt(now);
  }

  /** Sets the boot of a worker, which has restarted if another one was known. */
  private void setBoot(Worker worker, long boot, long now) {
    long known = worker.entry().bootTimeMillis();
    if (known != 0) {
      listener.onRestarted(worker, "born " + boot + " in its answer");
      worker.boots().addEnded(known);
    }
    worker.boots().setKnown(now);
    worker.setBootTime(boot);
  }

  private void onReport(
      Worker worker, HoldCall call, HoldReply reply, long sentAt, long now, boolean isSameBoot) {
    boolean wasUnreachable = worker.isUnreachable();
    if (worker.isUnresponsive()) {
      log.decided("worker", worker.id(), "reached again", worker.holdFailures() + " failed calls");
    }
    worker.onAnswer(sentAt);
    if (call.leaseUntilMillis() != null) {
      worker.setExtended(sentAt);
    }
    if (isSameBoot) {
      worker.completions().onAcknowledged(call.acknowledgedUpTo());
    }
    if (wasUnreachable) {
      listener.onReachabilityChanged(worker);
    }
    if (!worker.hasAcknowledgedToken()) {
      log.decided("worker", worker.id(), "first answer", firstAnswer(reply, now - sentAt));
    }
    worker.leases().observeClock(reply.clockMillis(), now);
    long before = worker.completions().last();
    reconciler.onReport(worker, reply, sentAt, call.token());
    if (!worker.hasAcknowledgedToken()) {
      worker.setTokenAcknowledged(now, settings.workerLeaseMillis());
    }
    if (reply.isComplete() && !worker.isFullyReported()) {
      worker.setFullyReported();
      listener.onFirstFullReport(worker);
    }
    listener.onReport(worker);
    worker.setNextHoldAt(now + nextInterval(worker, reply));
    if (worker.completions().last() > before || worker.completions().hasUnrecorded()) {
      endRecorder.recordWhenStored(worker);
    }
  }

  private static String firstAnswer(HoldReply reply, long age) {
    String boot = "clock " + reply.clockMillis() + ", born " + reply.bootTimeMillis();
    String runs = ", " + reply.running().size() + " runs, " + reply.completions().size() + " ends";
    LongSummaryStatistics numbers =
        reply.completions().stream().mapToLong(CompletionReport::number).summaryStatistics();
    String range =
        reply.completions().isEmpty()
            ? ""
            : " from " + numbers.getMin() + " to " + numbers.getMax();
    return boot + runs + range + ", " + age + " ms after it was asked";
  }

  private long nextInterval(Worker worker, HoldReply reply) {
    if (worker.isFirstExtensionDue() || worker.boots().isInDoubt()) {
      return 0;
    }
    if (worker.completions().hasUnrecorded() || worker.completions().hasFailed()) {
      return UNSTORED_INTERVAL_MILLIS;
    }
    if (worker.completions().isAcknowledgementDue()) {
      return 0;
    }
    if (!reply.isComplete() || hasUnprovenStop(worker)) {
      return INCOMPLETE_INTERVAL_MILLIS;
    }
    if (worker.hasUnknownRuns()) {
      return UNKNOWN_RUNS_INTERVAL_MILLIS;
    }
    if (worker.runs().isEmpty()) {
      return IDLE_INTERVAL_MILLIS;
    }
    // Once it is stored as reachable it is polled at once.
    return worker.isStoredAsUnreachable() ? RETRY_MILLIS : 0;
  }

  /**
   * A hold call to a worker. Compared by identity: two calls with the same content are distinct.
   */
  private static final class HoldInFlight {
    private final Worker worker;
    private final HoldCall call;
    private final CallWindow.Call windowCall;
    private final long sentAt;

    HoldInFlight(Worker worker, HoldCall call, CallWindow.Call windowCall, long sentAt) {
      this.worker = worker;
      this.call = call;
      this.windowCall = windowCall;
      this.sentAt = sentAt;
    }

    long lateAt() {
      return sentAt + call.waitMillis() + LATE_AFTER_MILLIS;
    }
  }
}
