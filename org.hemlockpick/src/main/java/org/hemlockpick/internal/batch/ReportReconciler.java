package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.ownership.LeaseListener;
import org.hemlockpick.internal.ownership.RecordedTaskSource;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRecord;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskState;
import org.hemlockpick.proto.TaskStatus;

/**
 * Updates the rows of shards from the reports of workers.
 *
 * <p>A report counts only for the attempt that the row assigns to this boot of the worker, and the
 * row then advances to the next attempt; so each report takes effect once, whichever entry instance
 * reads it. The worker repeats it until the row is written.
 */
final class ReportReconciler implements LeaseListener, RecordedTaskSource, ShardListener {
  /**
   * Number of reports received after an assignment became known, the last of which was certainly
   * requested after that time.
   */
  private static final long MIN_REPORTS_SINCE_ASSIGNMENT = 2;

  private record UnmatchedReport(String worker, TaskRef ref) {}

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final WorkerTable workers;
  private final WorkerLoadTable loads;
  private final ShardTable shards;
  private final ShardJournal journal;
  private final TaskDispatcher dispatcher;
  private final Quarantine quarantine;
  private final Map<String, Set<UnmatchedReport>> unmatched = new HashMap<>();
  private boolean capacityChanged;

  ReportReconciler(
      InstanceSettings settings,
      Outbox outbox,
      WorkerTable workers,
      WorkerLoadTable loads,
      ShardTable shards,
      ShardJournal journal,
      TaskDispatcher dispatcher,
      Quarantine quarantine) {
    this.settings = settings;
    this.outbox = outbox;
    this.workers = workers;
    this.loads = loads;
    this.shards = shards;
    this.journal = journal;
    this.dispatcher = dispatcher;
    this.quarantine = quarantine;
  }

  /** Returns whether capacity may have become free since the last call: a worker reported. */
  boolean takeCapacityChanged() {
    boolean changed = capacityChanged;
    capacityChanged = false;
    return changed;
  }

  @Override
  public void granted(Worker worker) {
    loads.of(worker.name()).granted(outbox.now());
  }

  @Override
  public void restarted(Worker worker, String previousBoot) {
    loads.of(worker.name()).restarted();
    quarantine.forgetWorker(worker.name());
  }

  @Override
  public void lost(Worker worker) {
    loads.of(worker.name()).lost();
  }

  @Override
  public void reported(Worker worker) {
    capacityChanged = true;
    WorkerLoad load = loads.of(worker.name());
    load.update(worker);
    List.copyOf(worker.tasks().values()).forEach(status -> apply(worker, status));
    new ArrayList<>(load.assigned).forEach(task -> checkReported(worker, load, task));
    if (worker.isLeaving()) {
      stopAll(worker);
    }
  }

  @Override
  public void gone(Worker worker) {
    quarantine.forgetWorker(worker.name());
    requeueAll(loads.of(worker.name()));
  }

  /** Requeues all tasks that their rows assign to a worker that runs nothing any more. */
  void requeueAll(WorkerLoad load) {
    for (Task task : new ArrayList<>(load.assigned)) {
      if (task.isPlaced()) {
        shards.change(task, TaskTransitions.lost(task.wanted));
      }
    }
  }

  @Override
  public List<TaskRef> recorded(Worker worker) {
    WorkerLoad load = loads.of(worker.name());
    return worker.tasks().values().stream()
        .filter(status -> isOver(status) && load.mayForget(status.getTask()))
        .map(TaskStatus::getTask)
        .toList();
  }

  @Override
  public void changed(Shard shard) {
    unmatched.remove(shard.key);
    Job job = shard.indexedUnder;
    boolean cancelled = job != null && job.isCancelled() && shards.isHeld(shard);
    for (Task task : shard.tasks) {
      if (cancelled) {
        cancel(task);
      }
      if (task.isPlaced()) {
        reconcileAssignment(task);
      }
    }
  }

  @Override
  public void absent(String key) {
    Set<UnmatchedReport> reports = unmatched.remove(key);
    if (reports != null) {
      reports.forEach(report -> loads.of(report.worker()).markRecorded(report.ref()));
    }
  }

  /** Applies the status of one attempt from a report or a reply of a worker. */
  void apply(Worker worker, TaskStatus status) {
    TaskRef ref = status.getTask();
    WorkerLoad load = loads.of(worker.name());
    if (isOver(status)) {
      load.markEnded(ref);
    }
    Shard shard = shards.find(ref.getJob(), ref.getIndex());
    if (shard == null || shard.indexedUnder == null) {
      if (isOver(status) && !load.mayForget(ref)) {
        readUnknownShard(worker, ref);
      }
      return;
    }
    if (!shard.has(ref.getIndex())) {
      return;
    }
    Task task = shard.task(ref.getIndex());
    if (isPast(task.committed, ref)) {
      applyToPastAttempt(worker, load, status);
    } else if (task.committed.getState() != TaskState.ASSIGNED
        || task.committed.getAttempt() < ref.getAttempt()) {
      shards.read(shard.key);
    } else if (isAssignedTo(task.committed, worker) && task.isPlaced()) {
      applyToCurrentAttempt(worker, load, task, status);
    }
  }

  private void applyToPastAttempt(Worker worker, WorkerLoad load, TaskStatus status) {
    if (isOver(status)) {
      load.markRecorded(status.getTask());
    } else {
      dispatcher.stop(worker, status.getTask());
    }
  }

  private void applyToCurrentAttempt(Worker worker, WorkerLoad load, Task task, TaskStatus status) {
    if (!isOver(status)) {
      task.confirmed = true;
      load.unstarted.remove(task);
      task.wanted = TaskTransitions.withCheckpoint(task.wanted, status.getCheckpoint());
      return;
    }
    TaskRecord next = nextRecord(task, status);
    outbox.event("task-ended", BatchRows.label(status.getTask()), status.getPhase().name());
    shards.change(task, next);
    if (status.getPhase() == TaskPhase.TASK_DONE) {
      quarantine.succeeded(worker.name(), task.shard.job);
    } else if (status.getPhase() == TaskPhase.TASK_FAILED) {
      quarantine.failed(worker.name(), task.shard.job);
    }
    capacityChanged = true;
  }

  private static TaskRecord nextRecord(Task task, TaskStatus status) {
    Job job = task.shard.indexedUnder;
    boolean cancelled = job != null && job.isCancelled();
    return switch (status.getPhase()) {
      case TASK_DONE -> TaskTransitions.done(task.wanted, status.getResult());
      case TASK_FAILED ->
          cancelled
              ? TaskTransitions.cancelled(task.wanted)
              : TaskTransitions.failed(task.wanted, status.getCheckpoint());
      default ->
          cancelled
              ? TaskTransitions.cancelled(task.wanted)
              : TaskTransitions.stopped(task.wanted, status.getCheckpoint());
    };
  }

  /** Applies the reported status of a task assigned to a worker owned here, or queues its start. */
  private void reconcileAssignment(Task task) {
    Worker worker = workers.find(task.wanted.getWorker());
    if (worker == null || !worker.isHeld(outbox.now()) || !isAssignedTo(task.wanted, worker)) {
      return;
    }
    TaskStatus status = worker.tasks().get(task.ref());
    if (status != null) {
      apply(worker, status);
    } else if (!task.confirmed) {
      loads.of(worker.name()).unstarted.add(task);
    }
  }

  private void checkReported(Worker worker, WorkerLoad load, Task task) {
    if (!task.isPlaced()) {
      return;
    }
    if (!isAssignedTo(task.wanted, worker)) {
      if (load.reports() >= task.reportsAtAssignment + MIN_REPORTS_SINCE_ASSIGNMENT) {
        shards.change(task, TaskTransitions.lost(task.wanted));
      }
      return;
    }
    TaskRef ref = task.ref();
    if (!worker.tasks().containsKey(ref)) {
      task.confirmed &= load.mayRun(ref);
      if (!task.confirmed) {
        load.unstarted.add(task);
      }
    }
  }

  private void cancel(Task task) {
    boolean unwritten =
        task.state() == TaskState.ASSIGNED
            && task.committed.getState() != TaskState.ASSIGNED
            && !journal.isWriting(task.shard);
    if (task.state() == TaskState.QUEUED || unwritten) {
      shards.change(task, TaskTransitions.cancelled(task.wanted));
      return;
    }
    Worker worker = workers.find(task.wanted.getWorker());
    boolean here = worker != null && worker.isHeld(outbox.now());
    if (worker != null && here && task.isPlaced() && isAssignedTo(task.wanted, worker)) {
      dispatcher.stop(worker, task.ref());
    }
  }

  private void stopAll(Worker worker) {
    for (TaskStatus status : worker.tasks().values()) {
      if (!isOver(status)) {
        dispatcher.stop(worker, status.getTask());
      }
    }
  }

  private void readUnknownShard(Worker worker, TaskRef ref) {
    String key =
        BatchRows.shardKey(settings.zone(), ref.getJob(), BatchRows.shardOf(ref.getIndex()));
    unmatched
        .computeIfAbsent(key, missing -> new HashSet<>())
        .add(new UnmatchedReport(worker.name(), ref));
    shards.read(key);
  }

  private static boolean isPast(TaskRecord row, TaskRef ref) {
    return row.getAttempt() > ref.getAttempt()
        || (row.getAttempt() == ref.getAttempt() && TaskTransitions.isOver(row));
  }

  private static boolean isAssignedTo(TaskRecord task, Worker worker) {
    return task.getWorker().equals(worker.name()) && task.getBoot().equals(worker.boot());
  }

  private static boolean isOver(TaskStatus status) {
    return status.getPhase() != TaskPhase.TASK_RUNNING;
  }
}
