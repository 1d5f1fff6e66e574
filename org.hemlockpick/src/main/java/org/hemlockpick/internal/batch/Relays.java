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

/** Looks after tasks of held shards at workers that other entry instances own, and the reverse. */
final class Relays implements LoopSystem {
  /** Interval between messages to the owners of workers, in milliseconds. */
  private static final long RELAY_MILLIS = 2_000;

  /** Relays between two reads of the rows concerned. */
  private static final int RELAYS_PER_READ = 3;

  /** How long the list of instances may lag behind the start of a worker, in milliseconds. */
  private static final long LIST_LAG_MILLIS = 60_000;

  /** How long a shard that is not held stays loaded after it was needed, in milliseconds. */
  private static final long VISIT_MILLIS = 10_000;

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final PeerTable peers;
  private final WorkerTable workers;
  private final WorkerLedger ledger;
  private final ShardTable shards;
  private final ShardJournal journal;
  private final TaskRunner runner;
  private final ReportReader reports;
  private long nextRun = Long.MIN_VALUE;
  private int runs;

  Relays(
      InstanceSettings settings,
      Outbox outbox,
      PeerTable peers,
      WorkerTable workers,
      WorkerLedger ledger,
      ShardTable shards,
      ShardJournal journal,
      TaskRunner runner,
      ReportReader reports) {
    this.settings = settings;
    this.outbox = outbox;
    this.peers = peers;
    this.workers = workers;
    this.ledger = ledger;
    this.shards = shards;
    this.journal = journal;
    this.runner = runner;
    this.reports = reports;
  }

  @Override
  public void run(long now) {
    if (now < nextRun) {
      return;
    }
    nextRun = now + RELAY_MILLIS;
    runs++;
    Map<String, String> owners = owners(now);
    for (WorkerLoad load : ledger.all()) {
      relay(load, owners, now);
    }
    dropVisited(now);
  }

  /** Takes a message about tasks that are assigned to a worker owned here. */
  void on(AssignedTasks message) {
    Worker worker = workers.find(message.getWorker());
    if (worker == null || !worker.isHeld(outbox.now())) {
      return;
    }
    boolean sameBoot = worker.boot().equals(message.getBoot());
    for (AssignedTask assigned : message.getTasksList()) {
      if (sameBoot) {
        ensure(worker, assigned);
      } else {
        visit(assigned);
      }
    }
  }

  private void ensure(Worker worker, AssignedTask assigned) {
    TaskRef ref =
        TaskRef.newBuilder()
            .setJob(assigned.getJob())
            .setIndex(assigned.getIndex())
            .setAttempt(assigned.getAttempt())
            .build();
    TaskStatus status = worker.tasks().get(ref);
    if (assigned.getStop()) {
      if (status == null || status.getPhase() == TaskPhase.TASK_RUNNING) {
        runner.stop(worker, ref);
      }
    } else if (status == null) {
      visit(assigned);
    }
  }

  private void visit(AssignedTask assigned) {
    String key = Rows.shardKey(settings.zone(), assigned.getJob(), assigned.getShard());
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

  private void relay(WorkerLoad load, Map<String, String> owners, long now) {
    if (load.assigned.isEmpty()) {
      if (workers.find(load.worker) == null) {
        ledger.forget(load.worker);
      }
      return;
    }
    Worker worker = workers.find(load.worker);
    if (worker == null) {
      loseWhenGone(load, now);
      return;
    }
    load.known();
    if (worker.isHeld(now)) {
      return;
    }
    String owner = owners.get(load.worker);
    if (owner != null) {
      tell(owner, load);
    }
    if (runs % RELAYS_PER_READ == 0) {
      load.assigned.stream().map(task -> task.shard.key).distinct().toList().forEach(shards::read);
    }
  }

  private void loseWhenGone(WorkerLoad load, long now) {
    boolean listedByNow = now - load.unknownSince(now) >= LIST_LAG_MILLIS;
    if (listedByNow && workers.isGone(load.worker, now)) {
      reports.lose(load);
    }
  }

  private void tell(String owner, WorkerLoad load) {
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

  private void dropVisited(long now) {
    for (Shard shard : shards.all()) {
      boolean idle = !shards.isDirty(shard) && !journal.isWriting(shard);
      if (idle && !shards.isHeld(shard) && now - shard.neededAt >= VISIT_MILLIS) {
        shards.drop(shard);
      }
    }
  }
}
