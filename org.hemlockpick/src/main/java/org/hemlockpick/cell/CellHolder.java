package org.hemlockpick.cell;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the jobs of a cell while this entry instance holds its lease.
 *
 * <p>It first loads the jobs, and the roster: the workers to which previous holders assigned tasks.
 * A task of an inherited job is started only once it is proven that it runs on no worker, see
 * {@link TakeoverTracker}.
 */
final class CellHolder {
  /** Number of attempt numbers per task that each generation of the holder may use. */
  private static final int ATTEMPTS_PER_GENERATION = 1_000;

  private static final int MAX_GENERATION = 2_000_000;

  private final CellSettings settings;
  private final CellLease.Acquired lease;
  private final LoopClock clock;
  private final DecisionLog log;
  private final CellMetrics metrics;
  private final Listener listener;

  private final JobTable jobs = new JobTable();
  private final WorkerTable workers = new WorkerTable();
  private final RunTimeEstimator estimator = new RunTimeEstimator();
  private final InterferenceModel interference = new InterferenceModel();
  private final CellJournal journal;
  private final EvacuationController evacuation;
  private final JobLifecycle lifecycle;
  private final JobWatcher jobWatcher;
  private final JobSweeper sweeper;
  private final UnservedJobs unservedJobs;
  private final LearnedState learnedState;
  private final TakeoverTracker takeoverTracker;
  private final WorkerList workerList;
  private final TaskRunner runner;
  private final CrashTracker crashes;
  private final TakeoverProgress takeoverProgress;
  private final WorkerLifecycle workerLifecycle;
  private final WorkerPoller workerPoller;
  private final Planner planner;
  private final PlanningSchedule planningSchedule = new PlanningSchedule();
  private final PaceController paceController;
  private final StallDetector stallDetector;
  private final DrainController drainController;
  private final EvacuationMoves evacuationMoves;
  private final CellReports reports;
  private final HolderGauges gauges;

  private boolean ended;
  private boolean releasing;
  private boolean changedSincePlan = true;

  /** Is notified of the end of the holder and of the availability of the table service. */
  interface Listener {
    /** Called when this entry instance no longer holds the cell. */
    void onEnded();

    /** Called when the table service stops or resumes answering. */
    void onStoreAvailability(boolean answers);
  }

  CellHolder(
      CellSettings settings,
      CellLease.Acquired lease,
      TableService store,
      WorkerPort port,
      ConfigurationSource source,
      Supplier<@Nullable Configuration> configuration,
      LoopClock clock,
      DecisionLog log,
      CellMetrics metrics,
      Listener listener) {
    this.settings = settings;
    this.lease = lease;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.listener = listener;
    long token = lease.version();
    int firstAttempt = (lease.generation() % MAX_GENERATION) * ATTEMPTS_PER_GENERATION + 1;
    this.journal =
        new CellJournal(
            settings,
            store,
            clock,
            lease.version(),
            lease.requestedAt(),
            () -> lease.renewed(settings.holderName(), waitingJobs(), settings.rowBytes()),
            log,
            metrics,
            new JournalListener());
    this.lifecycle = new JobLifecycle(jobs, journal, clock, log, estimator);
    this.jobWatcher =
        new JobWatcher(
            settings.cell(),
            store,
            jobs,
            lifecycle,
            journal,
            clock,
            log,
            () -> changedSincePlan = true);
    this.sweeper = new JobSweeper(settings, store, jobs, jobWatcher.tombstones(), journal, clock);
    this.learnedState = new LearnedState(interference, estimator, journal, settings.rowBytes());
    this.takeoverTracker =
        new TakeoverTracker(
            settings, lease, store, learnedState, journal.setAsideJobs(), clock, log);
    this.evacuation =
        new EvacuationController(
            settings, store, source, workers, takeoverTracker::isComplete, clock, log, metrics);
    this.workerList =
        new WorkerList(
            store,
            source,
            workers,
            takeoverTracker,
            lease.generation(),
            settings.rowBytes(),
            journal,
            clock,
            log,
            configuration,
            new ListListener());
    this.runner =
        new TaskRunner(
            settings,
            token,
            firstAttempt,
            port,
            lifecycle,
            journal,
            clock,
            log,
            new RunnerContext());
    this.crashes = new CrashTracker(workers, lifecycle, clock, log);
    CrashDoubts doubts = new CrashDoubts(jobs, takeoverTracker, crashes, clock, log);
    this.takeoverProgress = new TakeoverProgress(takeoverTracker, doubts, workerList, journal);
    QueueResolver queues = new QueueResolver(configuration);
    this.unservedJobs = new UnservedJobs(jobs, workers, queues, lifecycle);
    RunReconciler reconciler =
        new RunReconciler(
            runner, jobs, lifecycle, crashes, clock, log, metrics, queues::maxAttempts);
    this.workerLifecycle =
        new WorkerLifecycle(
            settings,
            workers,
            workerList,
            takeoverTracker,
            reconciler,
            crashes,
            clock,
            log,
            metrics);
    this.workerPoller =
        new WorkerPoller(
            settings, token, port, reconciler, crashes, journal, clock, log, new PollerListener());
    PlannerParts parts =
        new PlannerParts(
            settings,
            jobs,
            workers,
            lifecycle,
            estimator,
            interference,
            runner,
            queues,
            this::isStartable,
            clock,
            log,
            metrics);
    this.planner = parts.planner();
    this.paceController = new PaceController(token, port, runner::tryStop, interference, log);
    this.stallDetector = new StallDetector(runner, estimator, clock, log);
    this.drainController =
        new DrainController(
            parts.drainDeadline(), runner, estimator, clock, planner::hasReservedCapacity);
    this.evacuationMoves =
        new EvacuationMoves(runner, metrics, planner::hasReservedCapacity, planner::isMovable);
    this.reports =
        new CellReports(
            settings.cell(), jobs, workers, parts, takeoverTracker, journal, queues::queue, log);
    this.gauges =
        new HolderGauges(
            jobs,
            jobWatcher.tombstones(),
            workers,
            parts.reservations(),
            takeoverTracker,
            journal,
            reports,
            evacuation);
  }

  /**
   * Stops starting tasks and releases the cell, so that another entry instance can take it at once.
   */
  void release() {
    releasing = true;
    journal.release();
  }

  /** Requires a renewal of the lease before any further order. */
  void requireRenewal() {
    journal.requireRenewal();
    workerList.requireRead();
    evacuation.requireRead();
  }

  /** Returns the time since the last successful renewal was sent, in milliseconds. */
  long millisSinceRenewal() {
    return journal.millisSinceRenewal();
  }

  void addGauges(Map<String, Long> values, long now) {
    gauges.addTo(values, now);
  }

  /** Returns the log whose lines carry the token of this holder. */
  DecisionLog log() {
    return log;
  }

  /**
   * Returns the number of jobs of each queue of which no task has started. Until the jobs are
   * loaded, these are the numbers that the previous holder stored.
   */
  ImmutableMap<String, Integer> waitingJobs() {
    return jobWatcher.isLoaded() ? jobs.waitingByQueue() : lease.waitingJobs();
  }

  void run() {
    if (ended) {
      return;
    }
    long now = clock.monotonicMillis();
    evacuation.run();
    takeoverTracker.load(now);
    if (takeoverTracker.isLoaded()) {
      jobWatcher.run(now);
    }
    workerList.run(now);
    if (jobWatcher.isLoaded() && workerList.isRead()) {
      schedule(now);
    }
    journal.run();
  }

  private void schedule(long now) {
    workerLifecycle.dropExpiredRuns(journal.exclusiveUntil(now));
    workerList.addUnlisted();
    changedSincePlan |= takeoverProgress.run(now);
    workerPoller.run(workers.all());
    reports.run(now);
    if (!journal.allowsOrders(now)) {
      return;
    }
    unservedJobs.run(now);
    runner.run(workers.all());
    boolean mayStart = !releasing && journal.mayGrantLeases(now) && evacuation.mayStart();
    if (mayStart && planningSchedule.isDue(now, changedSincePlan)) {
      changedSincePlan = false;
      planner.run();
      long endedAt = clock.monotonicMillis();
      planningSchedule.onPass(now, endedAt);
      metrics.record("plan.millis", endedAt - now);
    }
    drainController.run(now, workers.all());
    if (mayStart) {
      evacuationMoves.run(now, workers.all());
    }
    reports.runLoad(now);
    sweeper.run(now);
    learnedState.run(now);
  }

  private boolean isStartable(Task task) {
    return !takeoverTracker.blocksStart(task)
        && journal.isVisibleToSuccessor(task.job().rowVersion());
  }

  private void end(HolderEnd cause, String reason) {
    if (ended) {
      return;
    }
    ended = true;
    journal.close();
    metrics.count("cell.lost", cause);
    log.decided("cell", settings.cell(), "not held any more", reason);
    listener.onEnded();
  }

  private final class JournalListener implements CellJournal.Listener {
    @Override
    public void onDeposed(String reason) {
      end(HolderEnd.DEPOSED, reason);
    }

    @Override
    public void onStoreAvailability(boolean answers) {
      listener.onStoreAvailability(answers);
    }

    @Override
    public void onReleased() {
      end(HolderEnd.RELEASED, "released");
    }
  }

  private final class RunnerContext implements TaskRunner.Context {
    @Override
    public void onFenced(Worker worker) {
      end(HolderEnd.FENCED, worker.id() + " has seen a higher fencing token");
    }

    @Override
    public boolean mayStartAt(Worker worker) {
      return evacuation.mayStartAt(worker);
    }

    @Override
    public void onStarted(Run run) {
      paceController.onStarted(run);
    }

    @Override
    public void onChange() {
      changedSincePlan = true;
    }
  }

  private final class ListListener implements WorkerList.Listener {
    @Override
    public void onRead() {
      crashes.onListRead();
      changedSincePlan = true;
    }

    @Override
    public void onRestarted(Worker worker, String evidence) {
      workerLifecycle.onRestarted(worker, evidence);
    }

    @Override
    public void onRosterStored() {
      changedSincePlan = true;
    }
  }

  private final class PollerListener implements WorkerPoller.Listener {
    @Override
    public void onFirstFullReport(Worker worker) {
      takeoverTracker.onAnswered(worker);
      workerList.requestRosterWrite();
    }

    @Override
    public void onReachabilityChanged(Worker worker) {
      workerList.requestRosterWrite();
    }

    @Override
    public void onFenced(Worker worker) {
      end(HolderEnd.FENCED, worker.id() + " has seen a higher fencing token");
    }

    @Override
    public void onRestarted(Worker worker, String evidence) {
      workerLifecycle.onRestarted(worker, evidence);
    }

    @Override
    public void onReplaced(Worker worker) {
      workerLifecycle.onReplaced(worker);
      workerList.requestRead();
    }

    @Override
    public void onReport(Worker worker) {
      changedSincePlan = true;
      if (!journal.allowsOrders(clock.monotonicMillis())) {
        return;
      }
      paceController.onReport(worker, planner::isPlaceableElsewhere);
      stallDetector.onReport(worker);
      drainController.onReport(worker);
    }
  }
}
