package org.hemlockpick.cell;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.hemlockpick.cell.JobRows.Kind;
import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.TableService.WatchResult;
import org.hemlockpick.proto.CellRecord;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.QueueLength;
import org.hemlockpick.proto.RosterEntry;
import org.hemlockpick.proto.RosterRecord;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the jobs of a cell while this entry instance holds its lease.
 *
 * <p>It first reads the jobs and the roster of workers that an earlier holder gave tasks to. Tasks
 * of inherited jobs are started only when every worker of the roster has answered to the own
 * fencing token, is known to have started anew, or can hold no lease any more.
 */
final class CellHolder {
  private static final long RETRY_MILLIS = 150;
  private static final long REGISTRY_PAUSE_MILLIS = 450;
  private static final long FEED_WAIT_MILLIS = 1_000;
  private static final long FEED_TIMEOUT_MILLIS = FEED_WAIT_MILLIS + 500;
  private static final long PLAN_PAUSE_MILLIS = 100;
  private static final long LOAD_REPORT_PAUSE_MILLIS = 2_000;
  private static final long FORGET_PAUSE_MILLIS = 5_000;

  /** Numbers of attempts that one holder may use for a task. */
  private static final int ATTEMPTS_PER_GENERATION = 1_000;

  private static final int MAX_GENERATION = 2_000_000;

  private final CellSettings settings;
  private final CellLease.Acquired lease;
  private final TableService store;
  private final ConfigurationSource source;
  private final Supplier<@Nullable Configuration> configuration;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Listener listener;

  private final JobTable jobs = new JobTable();
  private final WorkerTable workers = new WorkerTable();
  private final RunTimes times = new RunTimes();
  private final Interference interference = new Interference();
  private final CellJournal journal;
  private final JobKeeper keeper;
  private final TaskRunner runner;
  private final HoldSystem holds;
  private final Planner planner;
  private final PaceSystem pace;
  private final StallSystem stalls;
  private final DrainSystem drains;

  /** Rows that were read before the submission that they belong to. */
  private @Nullable PendingProgress pendingProgress;

  private final Set<String> pendingCancellations = new HashSet<>();

  /** Workers of the roster that may still run tasks of an earlier holder. */
  private final Set<RosterEntry> unaccounted = new HashSet<>();

  /** Time on the steady clock when every lease of an earlier holder has certainly ended. */
  private final long othersLapseAt;

  private boolean rosterRead;
  private boolean jobsRead;
  private boolean registryRead;
  private boolean located;
  private boolean ended;
  private boolean loading;
  private String loadFrom = "";
  private long loadVersion = -1;
  private boolean feeding;
  private boolean registryUnderWay;
  private long nextLoadAt;
  private long nextFeedAt;
  private long nextRegistryAt;
  private long nextPlanAt;
  private long nextForgetAt;
  private long nextLoadReportAt;
  private boolean changed = true;
  private boolean rosterChanged;

  /** Hears of the end of the holder. */
  interface Listener {
    /** Takes note that the cell is not held any more. */
    void onEnded();

    /** Takes note that the table service stopped or began to answer. */
    void onReachable(boolean answers);
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
    this.store = store;
    this.source = source;
    this.configuration = configuration;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
    this.othersLapseAt =
        lease.renewedAt()
            + CellTiming.HOLDER_LEASE
            + settings.workerLeaseMillis() * 102 / 100
            + RETRY_MILLIS;
    long token = lease.version();
    int firstAttempt = (lease.generation() % MAX_GENERATION) * ATTEMPTS_PER_GENERATION + 1;
    this.journal =
        new CellJournal(
            settings,
            store,
            clock,
            lease.version(),
            lease.askedAt(),
            this::record,
            new JournalListener());
    this.keeper = new JobKeeper(jobs, journal, clock, log, times);
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
    this.planner =
        new Planner(
            jobs,
            workers,
            runner,
            new SlackOrder(times),
            new InterferencePlacement(interference),
            clock,
            this::queue);
    this.pace = new PaceSystem(token, port, runner, interference, log);
    this.stalls = new StallSystem(runner, times, clock, log);
    this.drains = new DrainSystem(settings, runner, times, clock);
  }

  /** Gives the cell up so that another can take it at once. */
  void release() {
    journal.release();
  }

  /** Demands a renewal of the lease before any further order. */
  void doubt() {
    journal.doubt();
  }

  /** Returns the number of jobs of each queue of which no task has started. */
  Map<String, Integer> waiting() {
    Map<String, Integer> waiting = new TreeMap<>();
    for (Job job : jobs.open()) {
      if (job.state() == JobState.QUEUED) {
        waiting.merge(job.submission().queue(), 1, Integer::sum);
      }
    }
    return waiting;
  }

  void run() {
    if (ended) {
      return;
    }
    long now = clock.monotonicMillis();
    load(now);
    readRegistry(now);
    feed(now);
    if (jobsRead && rosterRead && registryRead) {
      schedule(now);
    }
    storeRoster();
    journal.run();
  }

  private void schedule(long now) {
    checkLapsed(now);
    locate(now);
    holds.run(workers.all());
    if (!journal.isSure()) {
      return;
    }
    runner.run(workers.all());
    if (changed || now >= nextPlanAt) {
      changed = false;
      nextPlanAt = now + PLAN_PAUSE_MILLIS;
      planner.run(located);
    }
    if (now >= nextLoadReportAt) {
      nextLoadReportAt = now + LOAD_REPORT_PAUSE_MILLIS;
      log.decided("load", settings.cell(), LoadReport.of(workers.all(), now), waitingTasks());
    }
    if (now >= nextForgetAt) {
      nextForgetAt = now + FORGET_PAUSE_MILLIS;
      keeper.forget(settings.statusKeepMillis());
    }
  }

  private String waitingTasks() {
    long now = clock.monotonicMillis();
    long waiting = 0;
    for (Job job : jobs.open()) {
      for (StepRun step : job.stepRuns()) {
        if (!step.isDone() && job.isOpen(step)) {
          waiting += step.tasks().stream().filter(task -> task.isReady(now)).count();
        }
      }
    }
    return jobs.open().size() + " open jobs, " + waiting + " tasks wait for room";
  }

  // Jobs

  private void load(long now) {
    if (loading || now < nextLoadAt || (rosterRead && jobsRead)) {
      return;
    }
    loading = true;
    if (!rosterRead) {
      store.read(CellRows.range(settings.cell()), CellTiming.STORE_TIMEOUT, this::onRosterRead);
      return;
    }
    store.read(
        new TableService.Range(JobRows.TABLE, settings.cell(), loadFrom, ""),
        CellTiming.STORE_TIMEOUT,
        this::onJobsRead);
  }

  private boolean failedToLoad(ReadResult result) {
    loading = false;
    if (!result.isWhole()) {
      nextLoadAt = clock.monotonicMillis() + RETRY_MILLIS;
    }
    return !result.isWhole();
  }

  private void onRosterRead(ReadResult result) {
    if (failedToLoad(result)) {
      return;
    }
    String key = CellRows.roster(settings.cell()).key();
    for (StoredRow row : result.rows()) {
      if (row.key().equals(key)) {
        CellRows.roster(row.value())
            .ifPresent(roster -> unaccounted.addAll(roster.getWorkersList()));
      }
    }
    rosterRead = true;
  }

  private void onJobsRead(ReadResult result) {
    if (failedToLoad(result)) {
      return;
    }
    if (loadVersion < 0) {
      loadVersion = result.version();
    }
    result.rows().forEach(row -> take(row, true));
    if (result.hasMore() && !result.rows().isEmpty()) {
      loadFrom = result.rows().get(result.rows().size() - 1).key() + "\u0000";
      return;
    }
    jobsRead = true;
    log.decided("cell", settings.cell(), "jobs read", jobs.open().size() + " open");
  }

  private void feed(long now) {
    if (!jobsRead || feeding || now < nextFeedAt) {
      return;
    }
    feeding = true;
    store.watch(JobRows.TABLE, loadVersion, FEED_WAIT_MILLIS, FEED_TIMEOUT_MILLIS, this::onFeed);
  }

  private void onFeed(WatchResult result) {
    feeding = false;
    switch (result.outcome()) {
      case CHANGES -> {
        loadVersion = Math.max(loadVersion, result.version());
        result.rows().forEach(row -> take(row, false));
      }
      case HISTORY_LOST -> {
        log.decided("cell", settings.cell(), "jobs are read again", "the history is gone");
        readAgain();
      }
      case FAILED -> nextFeedAt = clock.monotonicMillis() + RETRY_MILLIS;
    }
  }

  /** Reads all jobs again without forgetting those that are known. */
  private void readAgain() {
    loading = true;
    loadFrom = "";
    readPageAgain(-1);
  }

  private void readPageAgain(long firstVersion) {
    feeding = true;
    store.read(
        new TableService.Range(JobRows.TABLE, settings.cell(), loadFrom, ""),
        CellTiming.STORE_TIMEOUT,
        result -> onPageAgain(result, firstVersion));
  }

  private void onPageAgain(ReadResult result, long firstVersion) {
    feeding = false;
    if (!result.isWhole()) {
      // The feed fails again for want of history and leads back here.
      nextFeedAt = clock.monotonicMillis() + RETRY_MILLIS;
      return;
    }
    long version = firstVersion < 0 ? result.version() : firstVersion;
    result.rows().forEach(row -> take(row, false));
    if (result.hasMore() && !result.rows().isEmpty()) {
      loadFrom = result.rows().get(result.rows().size() - 1).key() + "\u0000";
      readPageAgain(version);
      return;
    }
    loadVersion = version;
  }

  private void take(StoredRow row, boolean inherited) {
    Optional<String> id = JobRows.job(row.key());
    Optional<Kind> kind = JobRows.kind(row.key());
    boolean foreign = !row.part().equals(settings.cell()) || row.removed();
    if (foreign || id.isEmpty() || kind.isEmpty()) {
      return;
    }
    switch (kind.get()) {
      case SUBMISSION -> takeSubmission(id.get(), row, inherited);
      case PROGRESS -> takeProgress(id.get(), row, inherited);
      case CANCELLATION -> takeCancellation(id.get(), row);
    }
    changed = true;
  }

  private void takeSubmission(String id, StoredRow row, boolean inherited) {
    if (jobs.get(id) != null) {
      return;
    }
    Submission submission = JobRows.submission(id, row.value()).orElse(null);
    if (submission == null) {
      log.decided("job", id, "ignored", "unreadable, row " + row.version());
      return;
    }
    Job job = new Job(submission, inherited);
    if (pendingProgress != null && pendingProgress.job().equals(id)) {
      job.restore(pendingProgress.record());
    }
    if (pendingCancellations.remove(id)) {
      job.cancel();
    }
    jobs.add(job);
    if (job.isCanceled() && !job.state().isFinal()) {
      job.end(JobState.CANCELED, clock.wallMillis());
      jobs.close(job);
      journal.touch(job);
    }
    if (!inherited) {
      log.decided(
          "job", id, "taken", "row " + row.version() + ", " + submission.steps().size() + " steps");
    }
  }

  /** Rows come in the order of their keys: cancellation, progress, submission. */
  private void takeProgress(String id, StoredRow row, boolean inherited) {
    if (inherited && jobs.get(id) == null) {
      JobRows.progress(row.value())
          .ifPresent(record -> pendingProgress = new PendingProgress(id, record));
    }
  }

  private void takeCancellation(String id, StoredRow row) {
    Job job = jobs.get(id);
    if (job == null) {
      pendingCancellations.add(id);
      return;
    }
    log.decided("job", id, "cancellation seen", "row " + row.version());
    keeper.cancel(job);
  }

  private record PendingProgress(String job, ProgressRecord record) {}

  private @Nullable Queue queue(Job job) {
    Configuration inForce = configuration.get();
    return inForce == null ? null : inForce.queue(job.submission().queue()).orElse(null);
  }

  // Workers

  private void readRegistry(long now) {
    if (registryUnderWay || now < nextRegistryAt) {
      return;
    }
    registryUnderWay = true;
    nextRegistryAt = now + REGISTRY_PAUSE_MILLIS;
    store.read(
        new TableService.Range(source.workerTable(), "", "", ""),
        CellTiming.STORE_TIMEOUT,
        result -> onRegistry(result, new ArrayList<>(), ""));
  }

  private void onRegistry(ReadResult result, List<WorkerEntry> before, String from) {
    if (!result.isWhole()) {
      registryUnderWay = false;
      return;
    }
    List<WorkerEntry> entries = new ArrayList<>(before);
    String last = from;
    for (StoredRow row : result.rows()) {
      source.worker(row.key(), row.value()).ifPresent(entries::add);
      last = row.key();
    }
    if (result.hasMore()) {
      String next = last + "\u0000";
      store.read(
          new TableService.Range(source.workerTable(), "", next, ""),
          CellTiming.STORE_TIMEOUT,
          more -> onRegistry(more, entries, next));
      return;
    }
    registryUnderWay = false;
    registryRead = true;
    takeRegistry(entries);
  }

  private void takeRegistry(List<WorkerEntry> entries) {
    Set<String> listed = new HashSet<>();
    for (WorkerEntry entry : entries) {
      listed.add(entry.id());
      takeEntry(entry);
    }
    for (Worker worker : workers.all()) {
      if (!listed.contains(worker.id()) && worker.isListed()) {
        worker.setUnlisted();
        log.decided("worker", worker.id(), "left the list", worker.runs().size() + " runs");
      }
    }
    changed = true;
  }

  private void takeEntry(WorkerEntry entry) {
    Worker worker = workers.get(entry.id());
    if (worker == null) {
      workers.add(new Worker(entry));
      rosterChanged = true;
      return;
    }
    if (entry.bornMillis() < worker.entry().bornMillis()) {
      // Written by a boot that has ended.
      return;
    }
    boolean otherBoot =
        worker.entry().bornMillis() != 0 && entry.bornMillis() > worker.entry().bornMillis();
    if (entry.draining() && !worker.entry().draining()) {
      log.decided("worker", entry.id(), "draining", entry.remainingMillis() + " ms left");
      worker.setNextHoldAt(0);
    }
    if (otherBoot) {
      onOtherBoot(worker, true);
      rosterChanged = true;
    }
    worker.update(entry);
  }

  /** The next report tells which runs are left; none is if another worker has the address. */
  private void onOtherBoot(Worker worker, boolean sameId) {
    long now = clock.monotonicMillis();
    log.decided("worker", worker.id(), "started anew", worker.runs().size() + " runs, " + sameId);
    unaccounted.removeIf(entry -> entry.getWorker().equals(worker.id()));
    if (sameId) {
      worker.reboot(now, settings.workerLeaseMillis());
      worker.setNextHoldAt(now);
      return;
    }
    for (Run run : new ArrayList<>(worker.runs())) {
      runner.onGone(run, "another worker has its address");
    }
    worker.setUnlisted();
  }

  /** Drops the runs of workers that cannot be reached once their lease has certainly ended. */
  private void checkLapsed(long now) {
    for (Worker worker : new ArrayList<>(workers.all())) {
      boolean silent = worker.holdFailures() > 0 || !worker.isListed();
      if (!silent || !worker.isLapsed(now)) {
        continue;
      }
      for (Run run : new ArrayList<>(worker.runs())) {
        runner.onGone(run, "the lease of its worker has ended");
      }
      if (!worker.isListed() && !worker.isHolding() && !isUnaccounted(worker)) {
        workers.remove(worker);
        rosterChanged = true;
      }
    }
  }

  private boolean isUnaccounted(Worker worker) {
    return unaccounted.stream().anyMatch(entry -> entry.getWorker().equals(worker.id()));
  }

  /** Decides whether it is certain where the tasks of inherited jobs run. */
  private void locate(long now) {
    if (located) {
      return;
    }
    if (now >= othersLapseAt && !unaccounted.isEmpty()) {
      log.decided("cell", settings.cell(), "leases ended", unaccounted.size() + " not reached");
      unaccounted.clear();
    }
    for (RosterEntry entry : unaccounted) {
      if (workers.get(entry.getWorker()) == null) {
        // Not listed any more; it may still run, and answer.
        addUnlisted(entry);
      }
    }
    if (unaccounted.isEmpty()) {
      located = true;
      changed = true;
      log.decided(
          "cell",
          settings.cell(),
          "located",
          (now - lease.askedAt()) + " ms after the lease was asked for");
    }
  }

  private void addUnlisted(RosterEntry entry) {
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
                Amounts.NONE,
                ImmutableSet.of()));
    worker.setUnlisted();
    workers.add(worker);
  }

  private void storeRoster() {
    if (!rosterChanged || !rosterRead || !registryRead) {
      return;
    }
    rosterChanged = false;
    RosterRecord.Builder roster = RosterRecord.newBuilder().setFormat(JobRows.FORMAT);
    Set<String> named = new HashSet<>();
    List<Worker> known = new ArrayList<>(workers.all());
    for (Worker worker : known) {
      named.add(worker.id());
      roster.addWorkers(
          RosterEntry.newBuilder()
              .setWorker(worker.id())
              .setBornMillis(worker.entry().bornMillis())
              .setAddress(worker.entry().address()));
    }
    unaccounted.stream()
        .filter(entry -> !named.contains(entry.getWorker()))
        .forEach(roster::addWorkers);
    journal.setRoster(roster.build());
    journal.whenStored(
        () -> {
          known.forEach(worker -> worker.setOnRoster(true));
          changed = true;
        });
  }

  private CellRecord record() {
    CellRecord.Builder record =
        CellRecord.newBuilder()
            .setFormat(JobRows.FORMAT)
            .setHolder(settings.holder())
            .setGeneration(lease.generation());
    waiting()
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
    public void onReachable(boolean answers) {
      listener.onReachable(answers);
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
    public void onOtherBoot(Worker worker) {
      CellHolder.this.onOtherBoot(worker, true);
    }

    @Override
    public void onChange() {
      changed = true;
    }
  }

  private final class ReportListener implements HoldSystem.Listener {
    @Override
    public void onFirstReport(Worker worker) {
      unaccounted.removeIf(entry -> entry.getWorker().equals(worker.id()));
    }

    @Override
    public void onFenced(Worker worker) {
      end(worker.id() + " has seen a higher fencing token");
    }

    @Override
    public void onOtherBoot(Worker worker, boolean sameId) {
      CellHolder.this.onOtherBoot(worker, sameId);
      nextRegistryAt = 0;
    }

    @Override
    public void onReport(Worker worker) {
      changed = true;
      pace.onReport(worker, planner::isPlaceable);
      stalls.onReport(worker);
      drains.onReport(worker);
    }
  }
}
