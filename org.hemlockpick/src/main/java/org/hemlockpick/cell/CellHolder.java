package org.hemlockpick.cell;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.hemlockpick.proto.CellRecord;
import org.hemlockpick.proto.QueueLength;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the jobs of a cell while this entry instance holds its lease.
 *
 * <p>It first reads the jobs and the roster of workers that an earlier holder gave tasks to. A task
 * of an inherited job is started only when it is certain that it runs nowhere, see {@link
 * TakeOver}.
 */
final class CellHolder {
  private static final long PLAN_PAUSE_MILLIS = 100;
  private static final long LOAD_REPORT_PAUSE_MILLIS = 2_000;

  /** Numbers of attempts that one holder may use for a task. */
  private static final int ATTEMPTS_PER_GENERATION = 1_000;

  private static final int MAX_GENERATION = 2_000_000;

  private final CellSettings settings;
  private final CellLease.Acquired lease;
  private final Supplier<@Nullable Configuration> configuration;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Listener listener;

  private final JobTable jobs = new JobTable();
  private final WorkerTable workers = new WorkerTable();
  private final RunTimes times = new RunTimes();
  private final Interference interference = new Interference();
  private final CellJournal journal;
  private final JobLifecycle keeper;
  private final JobWatcher feed;
  private final JobSweeper sweeper;
  private final Experience experience;
  private final TakeOver takeOver;
  private final WorkerList list;
  private final TaskRunner runner;
  private final HoldSystem holds;
  private final Planner planner;
  private final PaceSystem pace;
  private final StallSystem stalls;
  private final DrainController drains;
  private final LastingWaits waits;

  private boolean ended;
  private boolean releasing;
  private long nextPlanAt;
  private long nextLoadReportAt;
  private boolean changed = true;

  /** Hears of the end of the holder. */
  interface Listener {
    /** Takes note that the cell is not held any more. */
    void onEnded();

    /** Takes note that the table service stopped or began to answer. */
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
      Listener listener) {
    this.settings = settings;
    this.lease = lease;
    this.configuration = configuration;
    this.clock = clock;
    this.log = log;
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
            this::record,
            log,
            new JournalListener());
    this.keeper = new JobLifecycle(jobs, journal, clock, log, times);
    this.feed =
        new JobWatcher(
            settings.cell(), store, jobs, keeper, journal, clock, log, () -> changed = true);
    this.sweeper = new JobSweeper(settings, store, jobs, journal, clock);
    this.experience = new Experience(interference, times, journal);
    this.takeOver = new TakeOver(settings, lease, store, experience, clock, log);
    this.list =
        new WorkerList(
            store, source, workers, takeOver, lease.generation(), journal, log, new ListListener());
    this.runner =
        new TaskRunner(
            settings,
            token,
            firstAttempt,
            port,
            jobs,
            keeper,
            journal,
            clock,
            log,
            new RunnerContext());
    this.holds =
        new HoldSystem(settings, token, port, runner, journal, clock, log, new ReportListener());
    ReservationTable reservations = new ReservationTable();
    Candidates candidates = new Candidates(workers, reservations);
    ReadyQueue ready =
        new ReadyQueue(jobs, keeper, new SlackOrder(times), clock, this::queue, this::isStartable);
    RoomForecast forecast = new RoomForecast(times);
    this.planner =
        new Planner(
            ready,
            workers,
            runner,
            candidates,
            new RoomKeeper(
                workers, candidates, reservations, forecast, runner::stop, this::queue, log),
            reservations,
            new InterferencePlacement(interference),
            clock,
            this::queue);
    this.pace = new PaceSystem(token, port, runner::stop, interference, log);
    this.stalls = new StallSystem(runner, times, clock, log);
    this.drains = new DrainController(settings, runner, times, clock);
    this.waits =
        new LastingWaits(
            settings.cell(),
            jobs,
            workers,
            candidates,
            reservations,
            takeOver,
            journal,
            this::queue,
            log);
  }

  /** Starts nothing more and gives the cell up, so that another can take it at once. */
  void release() {
    releasing = true;
    journal.release();
  }

  /** Demands a renewal of the lease before any further order. */
  void requireRenewal() {
    journal.requireRenewal();
  }

  /** Returns the time since the last renewal that was granted was asked for, in milliseconds. */
  long millisSinceRenewal() {
    return journal.millisSinceRenewal();
  }

  /** Returns the log whose lines carry the token of this holder. */
  DecisionLog log() {
    return log;
  }

  /**
   * Returns the number of jobs of each queue of which no task has started; what the holder before
   * told until the jobs are read.
   */
  ImmutableMap<String, Integer> waitingJobs() {
    if (!feed.isLoaded()) {
      return lease.waitingJobs();
    }
    Map<String, Integer> waiting = new TreeMap<>();
    for (Job job : jobs.open()) {
      if (job.state() == JobState.QUEUED) {
        waiting.merge(job.submission().queue(), 1, Integer::sum);
      }
    }
    return ImmutableMap.copyOf(waiting);
  }

  void run() {
    if (ended) {
      return;
    }
    long now = clock.monotonicMillis();
    takeOver.read(now);
    if (takeOver.isRead()) {
      feed.run(now);
    }
    list.run(now);
    if (feed.isLoaded() && list.isRead()) {
      schedule(now);
    }
    journal.run();
  }

  private void schedule(long now) {
    checkLapsed(now);
    list.addUnlisted();
    if (takeOver.run(now, journal.exclusiveUntil(now))) {
      list.touchRoster();
      changed = true;
      if (takeOver.isLocated() && !takeOver.arePlacesKept()) {
        // What was found is written with its place.
        journal.whenStored(this::onPlacesStored);
      }
    }
    holds.run(workers.all());
    waits.run(now);
    if (!journal.allowsOrders(now)) {
      return;
    }
    runner.run(workers.all());
    if (!releasing && journal.mayGrantLeases(now) && (changed || now >= nextPlanAt)) {
      changed = false;
      nextPlanAt = now + PLAN_PAUSE_MILLIS;
      planner.run();
    }
    if (now >= nextLoadReportAt) {
      nextLoadReportAt = now + LOAD_REPORT_PAUSE_MILLIS;
      log.decided("load", settings.cell(), LoadReport.of(workers.all(), now), waitingTasks());
    }
    sweeper.run(now);
    experience.run(now);
  }

  private void onPlacesStored() {
    takeOver.setPlacesKept();
    list.touchRoster();
  }

  private String waitingTasks() {
    long now = clock.monotonicMillis();
    long waiting = 0;
    for (Job job : jobs.open()) {
      for (StepRun step : job.stepRuns()) {
        if (!step.isDone() && job.areDependenciesDone(step)) {
          waiting += step.tasks().stream().filter(task -> task.isReady(now)).count();
        }
      }
    }
    return jobs.open().size() + " open jobs, " + waiting + " tasks wait for room";
  }

  private @Nullable Queue queue(Job job) {
    Configuration inForce = configuration.get();
    return inForce == null ? null : inForce.queue(job.submission().queue()).orElse(null);
  }

  /**
   * Its runs stay until its next report tells which are left. It knows no fence: a former holder
   * may use it until it has answered and is stored anew.
   */
  private void onStartedAnew(Worker worker, String evidence) {
    long now = clock.monotonicMillis();
    String before = "born " + worker.entry().bornMillis() + " before, ";
    String runs = ", " + worker.runs().size() + " runs";
    log.decided("worker", worker.id(), "started anew", before + evidence + runs);
    worker.reboot(now, settings.workerLeaseMillis());
    worker.setNextHoldAt(now);
    list.touchRoster();
  }

  private void onReplaced(Worker worker) {
    String runs = worker.entry().address() + ", " + worker.runs().size() + " runs";
    log.decided("worker", worker.id(), "replaced", "another worker at " + runs);
    takeOver.account(worker.id(), "another worker has its address");
    for (Run run : new ArrayList<>(worker.runs())) {
      runner.onGone(run, "another worker has its address");
    }
    list.onEnded(worker);
  }

  /**
   * Drops the runs of workers that cannot be reached once their lease has certainly ended. A
   * successor may have renewed a lease that ended later than this holder held the cell alone.
   */
  private void checkLapsed(long now) {
    long heldAlone = journal.exclusiveUntil(now);
    for (Worker worker : new ArrayList<>(workers.all())) {
      boolean silent = worker.isSilent() || !worker.isListed();
      if (silent && worker.isLapsed(heldAlone)) {
        for (Run run : new ArrayList<>(worker.runs())) {
          runner.onGone(run, "the lease of its worker has ended");
        }
      }
      if (isSpent(worker)) {
        list.remove(worker);
      } else if (worker.isLeaving() && worker.isOnRoster()) {
        list.touchRoster();
      }
    }
  }

  private boolean isSpent(Worker worker) {
    boolean gone = !worker.isListed() && !worker.isHolding();
    return gone && worker.runs().isEmpty() && !takeOver.isUnaccounted(worker.id());
  }

  private boolean isStartable(Task task) {
    return !takeOver.blocks(task) && journal.isVisibleToSuccessor(task.job().rowVersion());
  }

  private CellRecord record() {
    CellRecord.Builder record =
        CellRecord.newBuilder()
            .setFormat(JobRows.FORMAT)
            .setHolder(settings.holderName())
            .setGeneration(lease.generation())
            .setReplacedVersion(lease.replacedVersion());
    waitingJobs()
        .forEach(
            (queue, count) ->
                record.addWaiting(QueueLength.newBuilder().setQueue(queue).setWaiting(count)));
    return record.build();
  }

  private void end(String reason) {
    if (ended) {
      return;
    }
    ended = true;
    journal.close();
    log.decided("cell", settings.cell(), "not held any more", reason);
    listener.onEnded();
  }

  private final class JournalListener implements CellJournal.Listener {
    @Override
    public void onDeposed(String reason) {
      end(reason);
    }

    @Override
    public void onStoreAvailability(boolean answers) {
      listener.onStoreAvailability(answers);
    }

    @Override
    public void onReleased() {
      end("released");
    }
  }

  private final class RunnerContext implements TaskRunner.Context {
    @Override
    public int maxAttempts(Job job) {
      Queue queue = queue(job);
      return queue == null ? Integer.MAX_VALUE : queue.maxAttempts();
    }

    @Override
    public void onFenced(Worker worker) {
      end(worker.id() + " has seen a higher fencing token");
    }

    @Override
    public void onChange() {
      changed = true;
    }
  }

  private final class ListListener implements WorkerList.Listener {
    @Override
    public void onRead() {
      changed = true;
    }

    @Override
    public void onStartedAnew(Worker worker, String evidence) {
      CellHolder.this.onStartedAnew(worker, evidence);
    }

    @Override
    public void onRosterStored() {
      changed = true;
    }
  }

  private final class ReportListener implements HoldSystem.Listener {
    @Override
    public void onFirstReport(Worker worker) {
      takeOver.account(worker.id(), "answered");
      list.touchRoster();
    }

    @Override
    public void onSilenceChanged(Worker worker) {
      list.touchRoster();
    }

    @Override
    public void onFenced(Worker worker) {
      end(worker.id() + " has seen a higher fencing token");
    }

    @Override
    public void onStartedAnew(Worker worker, String evidence) {
      CellHolder.this.onStartedAnew(worker, evidence);
      list.readSoon();
    }

    @Override
    public void onReplaced(Worker worker) {
      CellHolder.this.onReplaced(worker);
      list.readSoon();
    }

    @Override
    public void onReport(Worker worker) {
      changed = true;
      if (!journal.allowsOrders(clock.monotonicMillis())) {
        return;
      }
      pace.onReport(worker, planner::isPlaceable);
      stalls.onReport(worker);
      drains.onReport(worker);
    }
  }
}
