package org.hemlockpick.internal.batch;

import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.loop.BlobCalls;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.WorkerCalls;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.internal.ownership.OwnershipSystem;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.JobCancel;
import org.hemlockpick.proto.JobQuery;
import org.hemlockpick.proto.JobSubmit;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.ShardHint;

/**
 * Runs batch jobs: takes submissions, assigns tasks to workers and follows them to their end.
 *
 * <p>The row of a shard decides what a task may do. A task is started only after its row names the
 * worker, the worker's start and the attempt, and the attempt number moves on only when the worker
 * says that the attempt is over or is proved to run nothing any more.
 */
public final class BatchModule implements LoopSystem {
  /** Interval between two looks at the row of a job, in milliseconds. */
  private static final long JOB_READ_MILLIS = 15_000;

  private static final long TIDY_MILLIS = 1_000;

  private final InstanceSettings settings;
  private final WorkerTable workers;
  private final WorkerLedger ledger = new WorkerLedger();
  private final JobTable jobs;
  private final ShardTable shards;
  private final ShardJournal journal;
  private final ShardClaims claims;
  private final TaskRunner runner;
  private final Quarantine quarantine;
  private final ReportReader reports;
  private final Assigner assigner;
  private final Relays relays;
  private final ShardHandover handover;
  private final JobIntake intake;
  private final JobCancels cancels;
  private final JobViews views;
  private long nextTidy = Long.MIN_VALUE;

  /**
   * Creates the module and makes it follow the leases of workers.
   *
   * @param quota units that running tasks of a customer occupy
   * @param random source of random numbers for policies; the present ones draw none
   */
  public BatchModule(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      BlobCalls blobs,
      WorkerCalls calls,
      PeerTable peers,
      WorkerTable workers,
      OwnershipSystem ownership,
      ContractTable contracts,
      TaskQuota quota,
      RandomGenerator random) {
    this.settings = settings;
    this.workers = workers;
    WriteIds writeIds = new WriteIds(settings, outbox);
    TaskUnits units = new TaskUnits(quota, contracts);
    Callers callers = new Callers(outbox, contracts);
    jobs = new JobTable(store);
    shards = new ShardTable(settings, outbox, store, jobs, ledger, units);
    journal = new ShardJournal(settings, outbox, store, shards, writeIds);
    claims = new ShardClaims(settings, outbox, store, peers, workers, shards);
    quarantine = new Quarantine(outbox);
    runner = new TaskRunner(outbox, settings.timing(), calls, workers, ledger, shards);
    reports =
        new ReportReader(settings, outbox, workers, ledger, shards, journal, runner, quarantine);
    assigner =
        new Assigner(
            workers,
            ledger,
            jobs,
            shards,
            units,
            quarantine,
            new UrgentFairOrder(),
            new MostFreePlacement());
    relays = new Relays(settings, outbox, peers, workers, ledger, shards, journal, runner, reports);
    handover = new ShardHandover(peers, shards, jobs, assigner);
    intake =
        new JobIntake(
            settings, outbox, store, blobs, workers, jobs, shards, claims, writeIds, callers);
    cancels = new JobCancels(outbox, store, peers, jobs, shards, writeIds, callers);
    views = new JobViews(store, jobs, shards, callers);
    runner.setReader(reports::apply);
    shards.addListener(reports);
    shards.addListener(new ShardSweep(settings, outbox, store));
    shards.addListener(new Wake(assigner));
    ownership.addListener(reports);
    ownership.addRecordedTaskSource(reports);
  }

  private record Wake(Assigner assigner) implements ShardListener {
    @Override
    public void settled(Shard shard) {
      assigner.wake();
    }
  }

  /** Takes a job; the answer follows when its rows are written. */
  public void on(JobSubmit submit) {
    intake.on(submit);
  }

  /** Answers about a job of the caller. */
  public void on(JobQuery query) {
    views.on(query);
  }

  /** Cancels a job of the caller; the answer follows when its row says so. */
  public void on(JobCancel cancel) {
    cancels.on(cancel);
  }

  /** Takes a message of a peer about shards or tasks; ignores any other. */
  public void on(PeerMessage message) {
    switch (message.getBodyCase()) {
      case ASSIGNED_TASKS -> relays.on(message.getAssignedTasks());
      case SHARD_HINT -> onHint(message.getShardHint());
      default -> {
        // For other systems.
      }
    }
  }

  @Override
  public void run(long now) {
    claims.run(now);
    intake.run(now);
    if (reports.takeRoomChanged()) {
      assigner.wake();
    }
    assigner.run(now);
    handover.run(now);
    journal.run(now);
    runner.run(now);
    relays.run(now);
    if (now >= nextTidy) {
      nextTidy = now + TIDY_MILLIS;
      tidy(now);
    }
  }

  /** Returns how many shards this entry instance holds. */
  public int shardsHeld() {
    return shards.heldCount();
  }

  /** Returns how many tasks run at the workers that this entry instance owns. */
  public int tasksRunning() {
    return ledger.all().stream().mapToInt(WorkerLoad::runningTasks).sum();
  }

  /** Returns how many thousandths of processors are free at the workers owned here. */
  public int freeCpuMillis(long now) {
    long free = 0;
    for (Worker worker : workers.held(now)) {
      if (worker.accepts(now)) {
        free += Math.max(0, ledger.free(worker).cpuMillis());
      }
    }
    return (int) Math.min(Integer.MAX_VALUE, free);
  }

  /** Tells whether every answered submission and every change of held shards is written. */
  public boolean isFlushed() {
    return journal.isFlushed() && intake.isIdle();
  }

  private void onHint(ShardHint hint) {
    Job job = jobs.find(hint.getJob());
    if (job != null) {
      refresh(job);
    }
    String key = Rows.shardKey(settings.zone(), hint.getJob(), hint.getShard());
    if (shards.find(key) == null) {
      shards.read(key);
    }
  }

  private void refresh(Job job) {
    jobs.read(
        job.id,
        read -> {
          if (read != null) {
            shards.jobChanged(read);
          }
        });
  }

  private void tidy(long now) {
    shards.tidy(now);
    quarantine.retainJobs(job -> jobs.find(job) != null);
    for (Job job : List.copyOf(jobs.all())) {
      if (job.readAt == 0) {
        job.readAt = now;
      } else if (now - job.readAt >= JOB_READ_MILLIS) {
        job.readAt = now;
        refresh(job);
      }
    }
  }
}
