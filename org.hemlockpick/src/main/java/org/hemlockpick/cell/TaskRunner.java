package org.hemlockpick.cell;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.hemlockpick.cell.WorkerPort.CompletionReport;
import org.hemlockpick.cell.WorkerPort.HoldReply;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.hemlockpick.cell.WorkerPort.OrderReply;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.cell.WorkerPort.RunReport;
import org.hemlockpick.cell.WorkerPort.StartOrder;
import org.jspecify.annotations.Nullable;

/**
 * Sends orders to workers and tracks the outcome of each run. A run whose order was not answered
 * keeps its reserved capacity, and its task is not started again, until a later report of the
 * worker, another boot or the expiry of the worker's lease proves that the run is gone.
 */
final class TaskRunner {
  /**
   * Maximum number of start orders sent for a run before it is stopped because no answer came; the
   * order is idempotent.
   */
  private static final int MAX_START_ORDERS = 3;

  private static final long STOP_RETRY_MILLIS = 400;

  /** Interval between two looks for runs that have to be stopped, in milliseconds. */
  private static final long STOP_CHECK_INTERVAL_MILLIS = 50;

  private static final long NO_CAPACITY_BACKOFF_MILLIS = 250;
  private static final long UNHEALTHY_BACKOFF_MILLIS = 1_000;
  private static final long MALFORMED_BACKOFF_MILLIS = 2_000;

  /**
   * Delay before retrying a task whose placement the table service refused to store, in
   * milliseconds.
   */
  private static final long NOT_STORED_BACKOFF_MILLIS = 10_000;

  private final CellSettings settings;
  private final long token;
  private final int firstAttempt;
  private final WorkerPort port;
  private final JobTable jobs;
  private final JobLifecycle lifecycle;
  private final CellJournal journal;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Context context;

  /** Time on the monotonic clock of the next look for runs that have to be stopped. */
  private long nextStopCheckAt = Long.MIN_VALUE;

  /** Provides what the runner needs from the holder. */
  interface Context {
    /** Returns the maximum number of failed runs of a task of a job. */
    int maxAttempts(Job job);

    /** Called when a worker has seen a higher fencing token. */
    void onFenced(Worker worker);

    /** Called when capacity or tasks have changed, so that tasks may be placed. */
    void onChange();
  }

  TaskRunner(
      CellSettings settings,
      long token,
      int firstAttempt,
      WorkerPort port,
      JobTable jobs,
      JobLifecycle lifecycle,
      CellJournal journal,
      LoopClock clock,
      DecisionLog log,
      Context context) {
    this.settings = settings;
    this.token = token;
    this.firstAttempt = firstAttempt;
    this.port = port;
    this.jobs = jobs;
    this.lifecycle = lifecycle;
    this.journal = journal;
    this.clock = clock;
    this.log = log;
    this.context = context;
  }

  /** Starts a task on a worker. */
  void start(Task task, Worker worker) {
    start(task, worker, task.nextAttempt(firstAttempt), task.checkpoint());
  }

  /** Starts all tasks of a gang with the same attempt number and checkpoint. */
  void startGang(List<Task> tasks, List<Worker> workers) {
    int attempt = 0;
    String checkpoint = "";
    for (Task task : tasks) {
      attempt = Math.max(attempt, task.nextAttempt(firstAttempt));
      checkpoint = checkpoint.isEmpty() ? task.checkpoint() : checkpoint;
    }
    for (int i = 0; i < tasks.size(); i++) {
      start(tasks.get(i), workers.get(i), attempt, checkpoint);
    }
  }

  private void start(Task task, Worker worker, int attempt, String checkpoint) {
    Run run = new Run(task, attempt, worker, Run.State.STARTING, clock.monotonicMillis());
    task.setRun(run);
    worker.add(run);
    if (run.step().longRunning()) {
      setPlacement(task, worker.id());
      journal.whenStored(() -> sendStartIfStored(run, checkpoint));
    } else {
      sendStart(run, checkpoint);
    }
  }

  private void setPlacement(Task task, String placement) {
    if (!task.placement().equals(placement)) {
      task.setPlacement(placement);
      journal.markDirty(task.job());
    }
  }

  /**
   * Sends the order for a run whose placement is stored, unless the situation has changed
   * meanwhile.
   */
  private void sendStartIfStored(Run run, String checkpoint) {
    if (journal.hasEnded() || !isCurrent(run) || run.state() != Run.State.STARTING) {
      return;
    }
    long now = clock.monotonicMillis();
    boolean isStored = !journal.isRefused(run.task().job());
    if (isStored && run.worker().isSchedulable(now)) {
      sendStart(run, checkpoint);
      return;
    }
    run.task()
        .setNotBefore(now + (isStored ? NO_CAPACITY_BACKOFF_MILLIS : NOT_STORED_BACKOFF_MILLIS));
    drop(run);
  }

  private void sendStart(Run run, String checkpoint) {
    Worker worker = run.worker();
    long now = clock.monotonicMillis();
    if (!journal.mayGrantLeases(now)) {
      onNotSent(run);
      return;
    }
    long until = worker.grantLease(now, settings.workerLeaseMillis());
    long orderToken = worker.token(token);
    run.countStartOrder(orderToken);
    String order = "attempt " + run.attempt() + ", order " + run.startOrdersSent();
    String terms = ", lease until " + until + ", free cpu " + worker.freeCpu();
    log.decided("start", run.id().task().toString(), worker.id(), order + terms);
    StartOrder call =
        new StartOrder(
            run.id(), run.task().job().submission().spec(), until, orderToken, checkpoint);
    port.start(worker.target(), call, reply -> onStartReply(run, call, reply, now));
  }

  /**
   * Drops a run that was never ordered: the cell's lease became uncertain while the order was
   * prepared.
   */
  private void onNotSent(Run run) {
    if (run.startOrdersSent() == 0) {
      drop(run);
    }
  }

  private void onStartReply(Run run, StartOrder order, OrderReply reply, long sentAt) {
    Worker worker = run.worker();
    long now = clock.monotonicMillis();
    if (reply.outcome() != OrderOutcome.ACCEPTED) {
      String attempt = "attempt " + run.attempt() + " at " + worker.id();
      String age = ", " + (now - sentAt) + " ms after the order" + (isCurrent(run) ? "" : ", gone");
      log.decided("start", run.id().task().toString(), reply.outcome().name(), attempt + age);
    }
    if (journal.hasEnded()) {
      return;
    }
    if (reply.outcome() == OrderOutcome.ACCEPTED || reply.outcome() == OrderOutcome.LOST) {
      worker.onStartOrdered(now, settings.workerLeaseMillis());
    }
    if (!isCurrent(run)) {
      return;
    }
    switch (reply.outcome()) {
      case ACCEPTED -> {
        worker.setExtended(sentAt);
        onAccepted(run, now);
      }
      case FENCED -> onStartFenced(run, order.token());
      case NO_ROOM -> {
        worker.backOffUntil(now + NO_CAPACITY_BACKOFF_MILLIS);
        dropUnlessRetried(run, reply.outcome());
      }
      case UNHEALTHY -> {
        worker.backOffUntil(now + UNHEALTHY_BACKOFF_MILLIS);
        dropUnlessRetried(run, reply.outcome());
      }
      case MALFORMED, NO_TICKET -> {
        run.task().setNotBefore(now + MALFORMED_BACKOFF_MILLIS);
        dropUnlessRetried(run, reply.outcome());
      }
      case LATE, OUTDATED, NOT_SENT, OTHER_BOOT -> {
        worker.backOffUntil(now + NO_CAPACITY_BACKOFF_MILLIS);
        worker.setNextHoldAt(now);
        dropUnlessRetried(run, reply.outcome());
      }
      case LOST -> onStartLost(run, order.checkpoint(), now);
    }
  }

  /**
   * Handles an order that the worker refused for its fencing token. If this holder has set a higher
   * one meanwhile, the next report shows whether an earlier order has started the run.
   */
  private void onStartFenced(Run run, long orderToken) {
    Worker worker = run.worker();
    if (isTokenReplaced(worker, orderToken)) {
      worker.setNextHoldAt(clock.monotonicMillis());
      return;
    }
    drop(run);
    context.onFenced(worker);
  }

  /** Returns whether this holder itself has set a higher fencing token than that of an order. */
  private boolean isTokenReplaced(Worker worker, long orderToken) {
    return orderToken < worker.token(token);
  }

  private void onAccepted(Run run, long now) {
    if (run.state() == Run.State.STARTING) {
      run.setState(Run.State.RUNNING);
      run.setReportableSince(now);
      run.worker().setNextHoldAt(Math.min(run.worker().nextHoldAt(), now));
      lifecycle.onStarted(run.task().job());
    }
  }

  /**
   * Drops a run, unless this was not the first order for it: an earlier one may still be in flight.
   */
  private void dropUnlessRetried(Run run, OrderOutcome outcome) {
    if (run.startOrdersSent() > 1 && outcome != OrderOutcome.OTHER_BOOT) {
      stop(run, "the answer to the first order is missing");
      return;
    }
    drop(run);
  }

  private void onStartLost(Run run, String checkpoint, long now) {
    run.worker().setNextHoldAt(now);
    if (run.state() == Run.State.RUNNING) {
      // A report has already shown it.
      return;
    }
    boolean isRetried =
        run.state() == Run.State.STARTING
            && run.startOrdersSent() < MAX_START_ORDERS
            && !run.worker().isUnresponsive()
            && run.worker().isOnRoster()
            && journal.mayGrantLeases(now);
    if (isRetried) {
      sendStart(run, checkpoint);
    } else {
      stop(run, "no answer to the order");
    }
  }

  /** Stops a run; its capacity stays reserved until the run is proven to be gone. */
  void stop(Run run, String reason) {
    if (run.state() != Run.State.STOPPING) {
      run.setState(Run.State.STOPPING);
      run.setReportableSince(Long.MAX_VALUE);
      log.decided("stop", run.id().task().toString(), run.worker().id(), reason);
    }
    sendStop(run);
  }

  /**
   * Stops a run so that its task runs elsewhere or its capacity becomes free, unless too many tasks
   * of its step are unavailable; returns whether it is stopped.
   */
  @CanIgnoreReturnValue
  boolean tryStop(Run run, String reason) {
    if (!DisruptionBudget.allowsStop(run)) {
      return false;
    }
    stop(run, reason);
    return true;
  }

  private void sendStop(Run run) {
    long now = clock.monotonicMillis();
    if (!journal.allowsOrders(now) || now - run.stopSentAt() < STOP_RETRY_MILLIS) {
      return;
    }
    run.setStopSentAt(now);
    long orderToken = run.worker().token(token);
    port.stop(
        run.worker().target(),
        run.id(),
        orderToken,
        reply -> onStopReply(run, orderToken, reply.outcome()));
  }

  private void onStopReply(Run run, long orderToken, OrderOutcome outcome) {
    long now = clock.monotonicMillis();
    if (journal.hasEnded() || !isCurrent(run)) {
      return;
    }
    switch (outcome) {
      case ACCEPTED -> {
        run.setReportableSince(now);
        run.worker().setNextHoldAt(now);
      }
      case FENCED -> {
        if (!isTokenReplaced(run.worker(), orderToken)) {
          context.onFenced(run.worker());
        }
      }
      default -> {
        raiseToken(run.worker());
        run.worker().setNextHoldAt(now);
      }
    }
  }

  /**
   * Sets a higher fencing token at a worker that does not answer the order to stop a run. The next
   * report that is requested with it shows whether the run exists: orders to start it that are
   * still in flight are refused from then on.
   */
  private void raiseToken(Worker worker) {
    long before = worker.token(token);
    worker.raiseToken(journal.renewalVersion());
    long raised = worker.token(token);
    if (raised > before) {
      log.decided("worker", worker.id(), "token raised", "from " + before + " to " + raised);
    }
  }

  /** Retries unanswered stop orders and stops the runs of finished tasks and jobs. */
  void run(Iterable<Worker> workers) {
    long now = clock.monotonicMillis();
    if (now < nextStopCheckAt) {
      return;
    }
    nextStopCheckAt = now + STOP_CHECK_INTERVAL_MILLIS;
    List<Run> toStop = new ArrayList<>();
    for (Worker worker : workers) {
      for (Run run : worker.runs()) {
        if (needsStopOrder(run)) {
          toStop.add(run);
        }
      }
    }
    toStop.forEach(run -> stop(run, "its job or task has ended"));
  }

  private static boolean needsStopOrder(Run run) {
    if (run.state() == Run.State.STOPPING) {
      return run.reportableSince() == Long.MAX_VALUE;
    }
    return run.task().job().state().isFinal() || run.task().isDone();
  }

  /**
   * Handles the report of a worker.
   *
   * @param sentAt time on the monotonic clock at which the report was requested
   * @param callToken fencing token of the request
   */
  void onReport(Worker worker, HoldReply reply, long sentAt, long callToken) {
    long now = clock.monotonicMillis();
    Set<RunId> reported = new HashSet<>(processCompletions(worker, reply));
    boolean isUnknown = false;
    for (RunReport report : reply.running()) {
      reported.add(report.run());
      isUnknown |= !onRunning(worker, report, now);
    }
    worker.setUnknownRuns(isUnknown);
    if (!reply.isComplete()) {
      // The completion of a run that is not named may be reported later.
      return;
    }
    for (Run run : new ArrayList<>(worker.runs())) {
      if (!reported.contains(run.id()) && run.isProvenGone(sentAt, callToken)) {
        onRunGone(run, "the worker does not report it");
      }
    }
  }

  /**
   * Processes the completions of a report. A failure to handle one does not affect those behind it;
   * the failed one is not acknowledged, so that the next report contains it again.
   *
   * @return the runs whose completions could not be handled
   */
  private Set<RunId> processCompletions(Worker worker, HoldReply reply) {
    Set<RunId> failed = new HashSet<>();
    for (CompletionReport completion : reply.completions()) {
      if (worker.hasProcessed(completion.number())) {
        if (worker.run(completion.run()).isPresent()) {
          String known = ", all processed up to " + worker.lastCompletion();
          log.decided(
              "end",
              completion.run().task().toString(),
              "passed over",
              at(worker, completion) + known);
        }
      } else if (!tryProcess(worker, completion)) {
        failed.add(completion.run());
        continue;
      }
      worker.setProcessed(completion.number(), failed.isEmpty());
    }
    worker.setFailedCompletions(!failed.isEmpty());
    return failed;
  }

  /** Processes a completion; returns false if its handling failed. */
  private boolean tryProcess(Worker worker, CompletionReport completion) {
    try {
      onCompletion(worker, completion);
      return true;
    } catch (RuntimeException e) {
      log.failed(
          "end",
          completion.run().task().toString(),
          completion.kind() + ", " + at(worker, completion),
          e);
      return false;
    }
  }

  private void onCompletion(Worker worker, CompletionReport completion) {
    Run run = worker.run(completion.run()).orElse(null);
    Task task = run != null ? run.task() : jobs.task(completion.run().task()).orElse(null);
    if (task == null) {
      String kind = completion.kind() + ", ";
      log.decided(
          "end", completion.run().task().toString(), "unknown task", kind + at(worker, completion));
      return;
    }
    worker.addUnrecorded(completion.number(), task.job());
    String known = describeKnown(task, completion.run().attempt(), run);
    String subject = completion.run().task().toString();
    log.decided("end", subject, completion.kind().name(), at(worker, completion) + known);
    lifecycle.onCompletion(
        task,
        completion.run().attempt(),
        worker,
        completion.kind(),
        completion.checkpoint(),
        // The duration of an orphaned run is not known.
        task.run() == run ? run : null,
        context.maxAttempts(task.job()));
    if (run != null) {
      recordLastRan(run, clock.monotonicMillis());
      remove(run);
    }
  }

  private static String at(Worker worker, CompletionReport completion) {
    String attempt = "attempt " + completion.run().attempt() + " at " + worker.id();
    return attempt
        + ", number "
        + completion.number()
        + ", born "
        + worker.entry().bootTimeMillis();
  }

  /** Returns, for the log, what was already known of a completed attempt. */
  private static String describeKnown(Task task, int attempt, @Nullable Run run) {
    if (task.isDone() || task.job().state().isFinal()) {
      return ", task had completed before";
    }
    if (task.failedAttempts().contains(attempt)) {
      return ", its failure was counted before";
    }
    return run == null ? ", unknown run" : ", new";
  }

  /** Records a run reported by a worker; returns false if its task is unknown. */
  private boolean onRunning(Worker worker, RunReport report, long now) {
    Run run = worker.run(report.run()).orElse(null);
    if (run == null) {
      run = takeOverRun(worker, report.run());
    }
    if (run == null) {
      stopUnknownRun(worker, report.run(), now);
      return false;
    }
    run.update(report, now);
    if (run.state() == Run.State.STARTING) {
      run.setState(Run.State.RUNNING);
      // Calls overlap: one sent later may have been carried out before the start.
      run.setReportableSince(now);
      lifecycle.onStarted(run.task().job());
    }
    return true;
  }

  private void stopUnknownRun(Worker worker, RunId id, long now) {
    if (journal.allowsOrders(now)) {
      port.stop(worker.target(), id, worker.token(token), reply -> {});
    }
  }

  /**
   * Takes over a run that another holder started. A run that must not continue is stopped, and
   * keeps its capacity until it is proven to be gone.
   *
   * @return the run; null if its task is unknown
   */
  private @Nullable Run takeOverRun(Worker worker, RunId id) {
    Task task = jobs.task(id.task()).orElse(null);
    if (task == null) {
      log.decided("run", id.task().toString(), "not adopted", worker.id() + ", unknown task");
      return null;
    }
    boolean isOver = task.isDone() || task.job().state().isFinal();
    return isOver || task.run() != null ? stopOrphan(task, worker, id) : adopt(task, worker, id);
  }

  private Run stopOrphan(Task task, Worker worker, RunId id) {
    log.decided("run", id.task().toString(), "not adopted", worker.id());
    Run run = new Run(task, id.attempt(), worker, Run.State.RUNNING, clock.monotonicMillis());
    task.addOrphan(run);
    worker.add(run);
    stop(run, "it was not adopted");
    return run;
  }

  private Run adopt(Task task, Worker worker, RunId id) {
    Run run = new Run(task, id.attempt(), worker, Run.State.RUNNING, clock.monotonicMillis());
    run.setReportableSince(clock.monotonicMillis());
    task.setRun(run);
    task.setLocated();
    worker.add(run);
    if (run.step().longRunning()) {
      setPlacement(task, worker.id());
    }
    log.decided("run", id.task().toString(), "adopted", worker.id());
    return run;
  }

  /** Handles a run that is proven to have ended though its completion was not reported. */
  void onRunGone(Run run, String reason) {
    log.decided("end", run.id().task().toString(), "gone", run.worker().id() + ", " + reason);
    lifecycle.onCompletion(
        run.task(),
        run.attempt(),
        run.worker(),
        CompletionKind.LAPSED,
        "",
        run,
        context.maxAttempts(run.task().job()));
    recordLastRan(run, run.worker().lastAnswerSentAt());
    remove(run);
  }

  private static void recordLastRan(Run run, long millis) {
    if (run.wasObservedRunning()) {
      run.task().setLastRanAt(millis);
    }
  }

  private void drop(Run run) {
    if (run.step().gang()) {
      // The other members would wait in vain.
      for (Task member : run.task().step().tasks()) {
        Run other = member.run();
        if (other != null && other != run) {
          stop(other, "a member of its gang was refused");
        }
      }
    }
    remove(run);
  }

  private void remove(Run run) {
    run.worker().remove(run);
    run.task().removeOrphan(run);
    if (run.task().run() == run) {
      run.task().setRun(null);
    }
    if (run.task().hasNoRuns()) {
      setPlacement(run.task(), "");
    }
    context.onChange();
  }

  private static boolean isCurrent(Run run) {
    return run.worker().run(run.id()).orElse(null) == run;
  }
}
