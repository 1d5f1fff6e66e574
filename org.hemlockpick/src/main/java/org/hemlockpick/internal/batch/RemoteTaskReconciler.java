package org.hemlockpick.internal.batch;

import java.util.HashMap;
import java.util.Map;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.AssignedTask;
import org.hemlockpick.proto.AssignedTasks;
import org.hemlockpick.proto.OwnedWorker;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskStatus;

/**
 * Reconciles tasks whose shard and worker have different entry instances: tells the owners of
 * workers which tasks of held shards are assigned there, and handles such messages for the workers
 * owned here.
 */
final class RemoteTaskReconciler implements LoopSystem {
  /**
   * Interval between runs, each of which sends messages to the owners of workers, in milliseconds.
   */
  private static final long INTERVAL_MILLIS = 2_000;

  /** Number of runs from one read of the affected rows to the next. */
  private static final int RUNS_PER_READ = 3;

  /** Maximum delay until a started worker appears in the instance list, in milliseconds. */
  private static final long LIST_LAG_MILLIS = 60_000;

  /** Time for which a shard that is not held stays loaded after its last use, in milliseconds. */
  private static final long UNHELD_RETENTION_MILLIS = 10_000;

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final PeerTable peers;
  private final WorkerTable workers;
  private final WorkerLoadTable loads;
  private final ShardTable shards;
  private final ShardJournal journal;
  private final TaskDispatcher dispatcher;
  private final ReportReconciler reports;
  private long nextRun = Long.MIN_VALUE;
  private int runs;

  RemoteTaskReconciler(
      InstanceSettings settings,
      Outbox outbox,
      PeerTable peers,
      WorkerTable workers,
      WorkerLoadTable loads,
      ShardTable shards,
      ShardJournal journal,
      TaskDispatcher dispatcher,
      ReportReconciler reports) {
    this.settings = settings;
    this.outbox = outbox;
    this.peers = peers;
    this.workers = workers;
    this.loads = loads;
    this.shards = shards;
    this.journal = journal;
    this.dispatcher = dispatcher;
    this.reports = reports;
  }

  @Override
  public void run(long now) {
    if (now < nextRun) {
      return;
    }
    nextRun = now + INTERVAL_MILLIS;
    runs++;
    Map<String, String> owners = owners(now);
    for (WorkerLoad load : loads.all()) {
      reconcile(load, owners, now);
    }
    dropUnheld(now);
  }

  /** Handles a message about tasks that are assigned to a worker owned here. */
  void on(AssignedTasks message) {
    Worker worker = workers.find(message.getWorker());
    if (worker == null || !worker.isHeld(outbox.now())) {
      return;
    }
    boolean sameBoot = worker.boot().equals(message.getBoot());
    for (AssignedTask assigned : message.getTasksList()) {
      if (sameBoot) {
        reconcile(worker, assigned);
      } else {
        ensureLoaded(assigned);
      }
    }
  }

  private void reconcile(Worker worker, AssignedTask assigned) {
    TaskRef ref =
        TaskRef.newBuilder()
            .setJob(assigned.getJob())
            .setIndex(assigned.getIndex())
            .setAttempt(assigned.getAttempt())
            .build();
    TaskStatus status = worker.tasks().get(ref);
    if (assigned.getStop()) {
      if (status == null || status.getPhase() == TaskPhase.TASK_RUNNING) {
        dispatcher.stop(worker, ref);
      }
    } else if (status == null) {
      ensureLoaded(assigned);
    }
  }

  private void ensureLoaded(AssignedTask assigned) {
    String key = BatchRows.shardKey(settings.zone(), assigned.getJob(), assigned.getShard());
    Shard shard = shards.find(key);
    if (shard == null) {
      shards.read(key);
      return;
    }
    shard.neededAt = outbox.now();
    boolean known =
        shard.has(assigned.getIndex())
            && shard.task(assigned.getIndex()).committed.getAttempt() == assigned.getAttempt()
            && shard.task(assigned.getIndex()).isPlaced();
    if (!known) {
      shards.read(key);
    }
  }

  private Map<String, String> owners(long now) {
    Map<String, String> owners = new HashMap<>();
    for (Peer peer : peers.aliveInZone(now)) {
      for (OwnedWorker owned : peer.heartbeat().getWorkersList()) {
        owners.put(owned.getWorker(), peer.name());
      }
    }
    return owners;
  }

  private void reconcile(WorkerLoad load, Map<String, String> owners, long now) {
    if (load.assigned.isEmpty()) {
      if (workers.find(load.worker) == null) {
        loads.forget(load.worker);
      }
      return;
    }
    Worker worker = workers.find(load.worker);
    if (worker == null) {
      requeueIfGone(load, now);
      return;
    }
    load.resetUnknownSince();
    if (worker.isHeld(now)) {
      return;
    }
    String owner = owners.get(load.worker);
    if (owner != null) {
      sendAssignedTasks(owner, load);
    }
    if (runs % RUNS_PER_READ == 0) {
      load.assigned.stream().map(task -> task.shard.key).distinct().toList().forEach(shards::read);
    }
  }

  private void requeueIfGone(WorkerLoad load, long now) {
    boolean listedByNow = now - load.unknownSince(now) >= LIST_LAG_MILLIS;
    if (listedByNow && workers.isGone(load.worker, now)) {
      reports.requeueAll(load);
    }
  }

  private void sendAssignedTasks(String owner, WorkerLoad load) {
    Map<String, AssignedTasks.Builder> byBoot = new HashMap<>();
    for (Task task : load.assigned) {
      Job job = task.shard.indexedUnder;
      if (job != null && task.isPlaced() && shards.isHeld(task.shard)) {
        byBoot
            .computeIfAbsent(
                task.wanted.getBoot(),
                boot -> AssignedTasks.newBuilder().setWorker(load.worker).setBoot(boot))
            .addTasks(assigned(task, job.isCancelled()));
      }
    }
    byBoot
        .values()
        .forEach(tasks -> outbox.send(owner, PeerMessage.newBuilder().setAssignedTasks(tasks)));
  }

  private static AssignedTask assigned(Task task, boolean stop) {
    return AssignedTask.newBuilder()
        .setJob(task.shard.job)
        .setIndex(task.wanted.getIndex())
        .setAttempt(task.wanted.getAttempt())
        .setShard(task.shard.number)
        .setStop(stop)
        .build();
  }

  private void dropUnheld(long now) {
    for (Shard shard : shards.all()) {
      boolean idle = !shards.isDirty(shard) && !journal.isWriting(shard);
      if (idle && !shards.isHeld(shard) && now - shard.neededAt >= UNHELD_RETENTION_MILLIS) {
        shards.drop(shard);
      }
    }
  }
}
