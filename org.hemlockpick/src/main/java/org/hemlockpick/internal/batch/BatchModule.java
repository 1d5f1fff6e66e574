package org.hemlockpick.internal.batch;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.hemlockpick.internal.contract.ContractTable;
import org.hemlockpick.internal.evacuation.EvacuationTable;
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
 * Runs batch jobs: accepts submissions, assigns tasks to workers and tracks them until they end.
 *
 * <p>The row of a shard is authoritative for its tasks. A task is started only after its row names
 * the worker, the worker's boot and the attempt, and the attempt number is incremented only when
 * the worker reports that the attempt ended or is proved to run nothing any more.
 */
public final class BatchModule implements LoopSystem {
  /** Interval between two reads of the row of a job, in milliseconds. */
  private static final long JOB_READ_INTERVAL_MILLIS = 15_000;

  private static final long CLEAN_UP_INTERVAL_MILLIS = 1_000;

  private final InstanceSettings settings;
  private final BooleanSupplier evacuated;
  private final WorkerTable workers;
  private final WorkerLoadTable loads = new WorkerLoadTable();
  private final JobTable jobs;
  private final ShardTable shards;
  private final ShardJournal journal;
  private final ShardTakeover takeover;
  private final TaskDispatcher dispatcher;
  private final Quarantine quarantine;
  private final ReportReconciler reports;
  private final TaskAssigner assigner;
  private final RemoteTaskReconciler remoteTasks;
  private final ShardHandover handover;
  private final JobSubmitHandler submits;
  private final JobCancelHandler cancels;
  private final JobQueryHandler views;
  private long nextCleanUp = Long.MIN_VALUE;

  /**
   * Creates the module and registers it as a listener of the leases of workers.
   *
   * @param quota grants the units that running tasks of a customer occupy
   * @param random source of random numbers for policies; the current ones use none
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
      EvacuationTable evacuations,
      TaskQuota quota,
      RandomGenerator random) {
    this.settings = settings;
    evacuated = () -> evacuations.isEvacuated(settings.zone());
    this.workers = workers;
    WriteIdGenerator writeIds = new WriteIdGenerator(settings, outbox);
    CustomerTaskUnits units = new CustomerTaskUnits(quota, contracts);
    Callers callers = new Callers(outbox, contracts);
    jobs = new JobTable(store);
    shards = new ShardTable(settings, outbox, store, jobs, loads, units);
    journal = new ShardJournal(settings, outbox, store, shards, writeIds);
    takeover = new ShardTakeover(settings, outbox, store, peers, workers, shards);
    quarantine = new Quarantine(outbox);
    dispatcher =
        new TaskDispatcher(outbox, settings.timing(), calls, workers, loads, shards, evacuated);
    reports =
        new ReportReconciler(
            settings, outbox, workers, loads, shards, journal, dispatcher, quarantine);
    assigner =
        new TaskAssigner(
            workers,
            evacuated,
            loads,
            jobs,
            shards,
            units,
            quarantine,
            new UrgentFairOrder(),
            new MostFreeCpuPlacement());
    remoteTasks =
        new RemoteTaskReconciler(
            settings, outbox, peers, workers, loads, shards, journal, dispatcher, reports);
    handover = new ShardHandover(peers, shards, jobs, assigner);
    submits =
        new JobSubmitHandler(
            settings, outbox, store, blobs, workers, jobs, shards, takeover, writeIds, callers);
    cancels = new JobCancelHandler(outbox, store, peers, jobs, shards, writeIds, callers);
    views = new JobQueryHandler(store, jobs, shards, callers);
    dispatcher.setStatusHandler(reports::apply);
    shards.addListener(reports);
    shards.addListener(new AbandonedShardSweeper(settings, outbox, store));
    shards.addListener(new AssignerTrigger(assigner));
    ownership.addListener(reports);
    ownership.addRecordedTaskSource(reports);
  }

  private record AssignerTrigger(TaskAssigner assigner) implements ShardListener {
    @Override
    public void changed(Shard shard) {
      assigner.runSoon();
    }
  }

  /** Accepts a job; the answer is sent when its rows are written. */
  public void on(JobSubmit submit) {
    submits.on(submit);
  }

  /** Answers a query for a job of the caller. */
  public void on(JobQuery query) {
    views.on(query);
  }

  /** Cancels a job of the caller; the answer is sent when the cancellation is in the row. */
  public void on(JobCancel cancel) {
    cancels.on(cancel);
  }

  /** Handles a message of a peer about shards or tasks; ignores any other. */
  public void on(PeerMessage message) {
    switch (message.getBodyCase()) {
      case ASSIGNED_TASKS -> remoteTasks.on(message.getAssignedTasks());
      case SHARD_HINT -> onHint(message.getShardHint());
      default -> {
        // Other systems handle the rest.
      }
    }
  }

  @Override
  public void run(long now) {
    takeover.run(now);
    submits.run(now);
    if (reports.takeCapacityChanged()) {
      assigner.runSoon();
    }
    assigner.run(now);
    handover.run(now);
    journal.run(now);
    dispatcher.run(now);
    remoteTasks.run(now);
    if (now >= nextCleanUp) {
      nextCleanUp = now + CLEAN_UP_INTERVAL_MILLIS;
      cleanUp(now);
    }
  }

  /** Returns how many shards this entry instance holds. */
  public int shardsHeld() {
    return shards.heldCount();
  }

  /** Returns how many tasks run on the workers that this entry instance owns. */
  public int tasksRunning() {
    return loads.all().stream().mapToInt(WorkerLoad::runningTasks).sum();
  }

  /**
   * Returns how many thousandths of CPU cores are free for tasks on the workers owned here; 0 while
   * this availability zone is evacuated.
   */
  public int freeCpuMillis(long now) {
    if (evacuated.getAsBoolean()) {
      return 0;
    }
    long free = 0;
    for (Worker worker : workers.held(now)) {
      if (worker.accepts(now)) {
        free += Math.max(0, loads.free(worker).cpuMillis());
      }
    }
    return (int) Math.min(Integer.MAX_VALUE, free);
  }

  /** Returns whether no submission is in progress and every change of held shards is written. */
  public boolean isFlushed() {
    return journal.isFlushed() && submits.isIdle();
  }

  private void onHint(ShardHint hint) {
    Job job = jobs.find(hint.getJob());
    if (job != null) {
      refresh(job);
    }
    String key = BatchRows.shardKey(settings.zone(), hint.getJob(), hint.getShard());
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

  private void cleanUp(long now) {
    shards.cleanUp(now);
    quarantine.retainJobs(job -> jobs.find(job) != null);
    for (Job job : List.copyOf(jobs.all())) {
      if (job.lastReadAt == 0) {
        job.lastReadAt = now;
      } else if (now - job.lastReadAt >= JOB_READ_INTERVAL_MILLIS) {
        job.lastReadAt = now;
        refresh(job);
      }
    }
  }
}
