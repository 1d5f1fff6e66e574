package org.hemlockpick.cell;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.List;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.hemlockpick.cell.WorkerPort.OrderReply;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.cell.WorkerPort.StartOrder;

/**
 * Sends orders to workers and tracks the outcome of each order. A run whose order was not answered
 * keeps its reserved capacity, and its task is not started again, until {@link RunReconciler} has
 * proof that the run is gone: a later report of the worker, another boot or the expiry of the
 * worker's lease.
 */
final class TaskRunner {
  /**
   * Maximum number of start orders sent for a run before it is stopped because no answer came; the
   * order is idempotent.
   */
  private static final int MAX_START_ORDERS = 3;

  private static final long STOP_RETRY_MILLIS = 400;

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
  private final JobLifecycle lifecycle;
  private final CellJournal journal;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Context context;
  private final StopReview stopReview;

  /** Provides what the runner needs from the holder. */
  interface Context {
    /** Called when a worker has seen a higher fencing token. */
    void onFenced(Worker worker);

    /** Returns whether a task may be started on a worker now, as its zone is not evacuated. */
    boolean mayStartAt(Worker worker);

    /** Called when a worker has accepted the order to start a run. */
    void onStarted(Run run);

    /** Called when capacity or tasks have changed, so that tasks may be placed. */
    void onChange();
  }

  TaskRunner(
      CellSettings settings,
      long token,
      int firstAttempt,
      WorkerPort port,
      JobLifecycle lifecycle,
      CellJournal journal,
      LoopClock clock,
      DecisionLog log,
      Context context) {
    this.settings = settings;
    this.token = token;
    this.firstAttempt = firstAttempt;
    this.port = port;
    this.lifecycle = lifecycle;
    this.journal = journal;
    this.clock = clock;
    this.log = log;
    this.context = context;
    this.stopReview = new StopReview(settings);
  }

  /** Starts a task on a worker, also as a copy of its run. */
  void start(Task task, Worker worker) {
    boolean isWatched = task.crashes().isWatched();
    start(task, worker, task.nextAttempt(firstAttempt), task.checkpoint(), isWatched);
  }

  /**
   * Starts all tasks of a gang with the same attempt number and checkpoint, and at once: if the
   * start of one has to be stored before, all wait for it.
   */
  void startGang(List<Task> tasks, List<Worker> workers) {
    boolean isWatched = tasks.stream().anyMatch(task -> task.crashes().isWatched());
    int attempt = 0;
    String checkpoint = "";
    for (Task task : tasks) {
      attempt = Math.max(attempt, task.nextAttempt(firstAttempt));
      checkpoint = checkpoint.isEmpty() ? task.checkpoint() : checkpoint;
    }
    for (int i = 0; i < tasks.size(); i++) {
      start(tasks.get(i), workers.get(i), attempt, checkpoint, isWatched);
    }
  }

  private void start(Task task, Worker worker, int attempt, String checkpoint, boolean isWatched) {
    Run run = new Run(task, attempt, worker, Run.State.STARTING, clock.monotonicMillis());
    task.addRun(run);
    worker.add(run);
    if (task.crashes().isWatched()) {
      lifecycle.watch(task, WatchedStart.of(run));
    }
    if (run.step().longRunning()) {
      setPlacement(task, worker.id());
    }
    if (isWatched || run.step().longRunning()) {
      // The members of a gang wait for the same commit.
      journal.markDirty(task.job());
      journal.whenStored(() -> sendStartIfStored(run, checkpoint));
    } else {
      sendStart(run, checkpoint);
    }
  }

  /** Sets the worker where a long-running task may run, to be stored with its job. */
  void setPlacement(Task task, String placement) {
    if (!task.placement().equals(placement)) {
      task.setPlacement(placement);
      journal.markDirty(task.job());
    }
  }

  /**
   * Sends the order for a run that is stored with its worker, unless the situation has changed
   * meanwhile.
   */
  private void sendStartIfStored(Run run, String checkpoint) {
    if (journal.hasEnded() || !isCurrent(run) || run.state() != Run.State.STARTING) {
      return;
    }
    long now = clock.monotonicMillis();
    boolean isStored = !journal.isRefused(run.task().job());
    boolean isOver = run.task().isDone() || run.task().job().state().isFinal();
    if (isStored && !isOver && run.worker().isSchedulable(now) && !run.worker().isOverCapacity()) {
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
    if (!journal.mayGrantLeases(now) || !context.mayStartAt(worker)) {
      // The lease became uncertain, or a zone was evacuated, while the order was prepared.
      if (run.startOrdersSent() == 0) {
        drop(run);
      } else {
        stop(run, "the order may not be repeated now");
      }
      return;
    }
    long until = worker.leases().grant(now, settings.workerLeaseMillis());
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
        worker.capacityRefusals().onAccepted(worker.reserved());
        onAccepted(run, now);
      }
      case FENCED -> onStartFenced(run, order.token());
      case NO_ROOM -> {
        worker.capacityRefusals().onRefused(worker.reserved(), sentAt, now);
        dropUnlessRetried(run, reply.outcome());
      }
      case UNHEALTHY -> {
        worker.admission().backOffUntil(now + UNHEALTHY_BACKOFF_MILLIS);
        dropUnlessRetried(run, reply.outcome());
      }
      case MALFORMED, NO_TICKET -> {
        run.task().setNotBefore(now + MALFORMED_BACKOFF_MILLIS);
        dropUnlessRetried(run, reply.outcome());
      }
      case LATE, OUTDATED, NOT_SENT, OTHER_BOOT -> {
        worker.admission().backOffUntil(now + NO_CAPACITY_BACKOFF_MILLIS);
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
      context.onStarted(run);
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
            && run.worker().listedCapacity().allowsRepeatedOrder(run.worker(), now)
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
    List<Run> overdue = stopReview.overdue(workers, clock.monotonicMillis());
    overdue.forEach(run -> stop(run, "its job or task has ended"));
  }

  /** Orders a worker to stop a run of an unknown task. */
  void stopUnknown(Worker worker, RunId id) {
    if (journal.allowsOrders(clock.monotonicMillis())) {
      port.stop(worker.target(), id, worker.token(token), reply -> {});
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

  /** Removes a run that is gone, with its placement if it was the last one of its task. */
  void remove(Run run) {
    run.worker().remove(run);
    run.task().removeRun(run);
    lifecycle.onStartResolved(run.task(), run.attempt());
    if (run.task().hasNoRuns()) {
      setPlacement(run.task(), "");
    }
    context.onChange();
  }

  private static boolean isCurrent(Run run) {
    return run.worker().run(run.id()).orElse(null) == run;
  }
}
