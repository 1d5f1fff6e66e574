package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.WorkerCalls;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskReply;
import org.hemlockpick.proto.TaskStartCall;
import org.hemlockpick.proto.TaskStatus;
import org.hemlockpick.proto.TaskStopCall;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;

/**
 * Sends start and stop calls to the workers that this entry instance owns.
 *
 * <p>An attempt is started only when a read or commit sent after the current lease was granted
 * showed that its row assigns it to this boot of the worker: a previous owner may have recorded the
 * end of the attempt before, and the worker may have forgotten it.
 *
 * <p>While the availability zone is evacuated, no start call is sent, not even a repeated one. A
 * task that is assigned but not started waits until the evacuation ends.
 */
final class TaskDispatcher implements LoopSystem {
  /** Delay before a call is repeated, in milliseconds. */
  private static final long RETRY_MILLIS = 1_000;

  /** Number of refusals by its worker after which an attempt is stopped. */
  private static final int MAX_REFUSALS = 3;

  private final Outbox outbox;
  private final Timing timing;
  private final WorkerCalls calls;
  private final WorkerTable workers;
  private final WorkerLoadTable loads;
  private final ShardTable shards;
  private final BooleanSupplier evacuated;
  private BiConsumer<Worker, TaskStatus> statusHandler = (worker, status) -> {};

  TaskDispatcher(
      Outbox outbox,
      Timing timing,
      WorkerCalls calls,
      WorkerTable workers,
      WorkerLoadTable loads,
      ShardTable shards,
      BooleanSupplier evacuated) {
    this.outbox = outbox;
    this.timing = timing;
    this.calls = calls;
    this.workers = workers;
    this.loads = loads;
    this.shards = shards;
    this.evacuated = evacuated;
  }

  /** Sets the handler of the task statuses in replies. */
  void setStatusHandler(BiConsumer<Worker, TaskStatus> statusHandler) {
    this.statusHandler = statusHandler;
  }

  @Override
  public void run(long now) {
    for (Worker worker : workers.held(now)) {
      WorkerLoad load = loads.of(worker.name());
      if (!load.unstarted.isEmpty()) {
        startDue(worker, load, now);
      }
      if (!load.stops.isEmpty()) {
        repeatStops(worker, load, now);
      }
    }
  }

  /** Stops an attempt; it has ended once the worker reports so. */
  void stop(Worker worker, TaskRef ref) {
    WorkerLoad load = loads.of(worker.name());
    if (!load.stops.containsKey(ref)) {
      sendStop(worker, load, ref, outbox.now());
    }
  }

  private void startDue(Worker worker, WorkerLoad load, long now) {
    ResourceAmounts free = loads.free(worker);
    for (Task task : new ArrayList<>(load.unstarted)) {
      Job job = task.shard.indexedUnder;
      if (job == null || !task.isPlaced() || !task.wanted.getBoot().equals(worker.boot())) {
        load.unstarted.remove(task);
        continue;
      }
      if (now < task.nextStartAt || load.stops.containsKey(task.ref())) {
        continue;
      }
      if (worker.isLeaving() || job.isCancelled() || task.refusals >= MAX_REFUSALS) {
        stop(worker, task.ref());
        continue;
      }
      if (evacuated.getAsBoolean()) {
        continue;
      }
      if (task.shard.knownAt < load.grantedAt()) {
        task.nextStartAt = now + RETRY_MILLIS;
        shards.read(task.shard.key);
        continue;
      }
      boolean counted = load.mayRun(task.ref());
      if (!worker.accepts(now) || (!counted && !free.covers(job.need()))) {
        return;
      }
      if (!counted) {
        free = free.minus(job.need());
      }
      sendStart(worker, load, task, job, now);
    }
  }

  private void sendStart(Worker worker, WorkerLoad load, Task task, Job job, long now) {
    TaskRef ref = task.ref();
    TaskStartCall start =
        TaskStartCall.newBuilder()
            .setEpoch(worker.epoch())
            .setBoot(worker.boot())
            .setTask(ref)
            .setCustomer(job.customer())
            .setKind(job.record.getSpec().getKind())
            .setResources(job.need().toResources())
            .setPayload(job.record.getPayload())
            .setCheckpoint(task.wanted.getCheckpoint())
            .build();
    task.nextStartAt = now + timing.workerTimeout().toMillis() + RETRY_MILLIS;
    load.beginStart(ref, job.need());
    outbox.event("task-sent", BatchRows.label(ref), worker.name());
    calls.send(
        call(worker).setTaskStart(start),
        reply -> onStartReply(worker, start.getEpoch(), task, ref, reply));
  }

  private void onStartReply(Worker worker, long epoch, Task task, TaskRef ref, WorkerReply reply) {
    boolean sameLease = worker.epoch() == epoch;
    boolean current = task.isPlaced() && task.ref().equals(ref);
    WorkerLoad load = loads.of(worker.name());
    if (reply.getFate() == CallFate.LOST) {
      worker.requireFreshConnection();
      return;
    }
    if (!sameLease) {
      return;
    }
    load.endStart(ref);
    TaskReply answer = reply.getTask();
    if (!answer.getAccepted()) {
      load.refused(ref);
      refuse(task, current && reply.getFate() == CallFate.ANSWERED);
    } else if (answer.getStatus().getPhase() != TaskPhase.TASK_RUNNING) {
      statusHandler.accept(worker, answer.getStatus());
    } else if (current) {
      task.confirmed = true;
      load.unstarted.remove(task);
    }
  }

  private void refuse(Task task, boolean byWorker) {
    task.nextStartAt = outbox.now() + RETRY_MILLIS;
    if (byWorker) {
      task.refusals++;
    }
  }

  private void repeatStops(Worker worker, WorkerLoad load, long now) {
    for (Map.Entry<TaskRef, Long> entry : List.copyOf(load.stops.entrySet())) {
      if (now - entry.getValue() >= timing.workerTimeout().toMillis() + RETRY_MILLIS) {
        sendStop(worker, load, entry.getKey(), now);
      }
    }
  }

  private void sendStop(Worker worker, WorkerLoad load, TaskRef ref, long now) {
    load.stops.put(ref, now);
    outbox.event("task-stop-sent", BatchRows.label(ref), worker.name());
    TaskStopCall stop =
        TaskStopCall.newBuilder()
            .setEpoch(worker.epoch())
            .setBoot(worker.boot())
            .setTask(ref)
            .build();
    calls.send(call(worker).setTaskStop(stop), reply -> onStopReply(worker, reply));
  }

  private void onStopReply(Worker worker, WorkerReply reply) {
    if (reply.getFate() == CallFate.LOST) {
      worker.requireFreshConnection();
    }
    if (reply.getTask().getAccepted()) {
      statusHandler.accept(worker, reply.getTask().getStatus());
    }
  }

  private WorkerCall.Builder call(Worker worker) {
    return WorkerCall.newBuilder()
        .setWorker(worker.name())
        .setAddress(worker.address())
        .setTimeoutMillis((int) timing.workerTimeout().toMillis())
        .setFreshConnection(worker.takeFreshConnection());
  }
}
