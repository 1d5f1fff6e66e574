package org.hemlockpick.internal.batch;

import com.google.protobuf.ByteString;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.Capacity;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskStartCall;
import org.hemlockpick.proto.TaskStatus;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;
import org.hemlockpick.standin.WorkerModel;

/** Drives a worker model: completes its tasks, restarts, and loses the calls a test selects. */
final class FakeWorker {
  final String name;
  private final Capacity capacity;
  private final InstantSource clock;
  private final RunLog log;
  private int boots = 1;
  private WorkerModel model;
  private final Map<TaskRef, Long> startedAt = new HashMap<>();

  /** Run time of a task in milliseconds. */
  long runMillis = 1_000;

  /** Phase in which a task completes. */
  Function<TaskRef, TaskPhase> completionPhase = ref -> TaskPhase.TASK_DONE;

  /** Calls that are lost. */
  Predicate<WorkerCall> lostCalls = call -> false;

  /** Calls whose replies are lost. */
  Predicate<WorkerCall> lostReplies = call -> false;

  /** Number of start calls that the worker refused. */
  int refusedStarts;

  /** Checkpoint with which each attempt was started. */
  final Map<TaskRef, String> checkpoints = new HashMap<>();

  FakeWorker(String name, int cpuMillis, InstantSource clock, RunLog log) {
    this.name = name;
    this.clock = clock;
    this.log = log;
    capacity =
        Capacity.newBuilder()
            .setSlots(4)
            .setConnections(16)
            .setCpuMillis(cpuMillis)
            .setMemoryMb(64_000)
            .build();
    model = boot();
  }

  WorkerModel model() {
    return model;
  }

  /** Restarts the worker; all its tasks are lost. */
  void restart() {
    boots++;
    startedAt.clear();
    model = boot();
  }

  List<TaskRef> running() {
    return model.tasks().stream()
        .filter(status -> status.getPhase() == TaskPhase.TASK_RUNNING)
        .map(TaskStatus::getTask)
        .toList();
  }

  /** Completes the tasks whose run time has passed. */
  void step() {
    model.stopOrphans();
    for (TaskRef ref : new ArrayList<>(running())) {
      if (clock.millis() - startedAt.getOrDefault(ref, clock.millis()) >= runMillis) {
        model.finishTask(
            ref, completionPhase.apply(ref), ByteString.copyFromUtf8("r" + ref.getIndex()));
      }
    }
  }

  Optional<WorkerReply> handle(WorkerCall call) {
    if (lostCalls.test(call)) {
      return Optional.empty();
    }
    WorkerReply.Builder reply =
        WorkerReply.newBuilder()
            .setCallId(call.getCallId())
            .setWorker(name)
            .setFate(CallFate.ANSWERED);
    List<TaskRef> known = model.tasks().stream().map(TaskStatus::getTask).toList();
    switch (call.getBodyCase()) {
      case LEASE -> reply.setLease(model.lease(call.getLease()));
      case TASK_START -> reply.setTask(model.start(recordCheckpoint(call.getTaskStart())));
      case TASK_STOP -> reply.setTask(model.stop(call.getTaskStop()));
      default -> throw new IllegalArgumentException("unexpected call " + call.getBodyCase());
    }
    if (call.hasTaskStart()) {
      recordStart(call.getTaskStart().getTask(), known);
      refusedStarts += reply.getTask().getAccepted() ? 0 : 1;
    }
    return lostReplies.test(call) ? Optional.empty() : Optional.of(reply.build());
  }

  private TaskStartCall recordCheckpoint(TaskStartCall start) {
    checkpoints.putIfAbsent(start.getTask(), start.getCheckpoint());
    return start;
  }

  private void recordStart(TaskRef ref, List<TaskRef> known) {
    if (!known.contains(ref) && running().contains(ref)) {
      startedAt.put(ref, clock.millis());
      log.started(name + "/" + boots, ref);
    }
  }

  private WorkerModel boot() {
    return new WorkerModel(name, capacity, clock, name + "/" + boots, boots * 1_000L);
  }
}
