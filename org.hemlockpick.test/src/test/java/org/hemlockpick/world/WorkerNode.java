package org.hemlockpick.world;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hemlockpick.fakes.DriftingClock;
import org.hemlockpick.fakes.VirtualTime;
import org.hemlockpick.proto.CallFate;
import org.hemlockpick.proto.Capacity;
import org.hemlockpick.proto.LeaseCall;
import org.hemlockpick.proto.LeaseReply;
import org.hemlockpick.proto.RequestCall;
import org.hemlockpick.proto.RequestFate;
import org.hemlockpick.proto.RequestReply;
import org.hemlockpick.proto.RequestResult;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskReply;
import org.hemlockpick.proto.TaskStartCall;
import org.hemlockpick.proto.TaskStatus;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.proto.WorkerReply;
import org.hemlockpick.standin.WorkerModel;

/** Runs one worker of the world in virtual time and reports what it runs to the oracle. */
final class WorkerNode {
  private static final Capacity CAPACITY =
      Capacity.newBuilder()
          .setSlots(3)
          .setConnections(64)
          .setCpuMillis(8_000)
          .setMemoryMb(16_000)
          .setAccelerators(1)
          .build();

  private static final int MAX_SERVICE_MILLIS = 9_000;

  final String name;
  final String zone;

  /** Names of entry instances whose open connections to this worker drop all messages. */
  final Set<String> silentFor = new HashSet<>();

  /** Time since which the platform lists the worker as leaving, or -1. */
  long leavingSince = -1;

  /** Time at which each entry instance first received a list with this worker leaving. */
  final Map<String, Long> shownLeavingAt = new HashMap<>();

  boolean listed = true;
  boolean dead;
  boolean failsEverything;
  long minRunMillis;

  /** Number of requests and tasks offered, whether they ran or not. */
  int offers;

  /** Number of calls sent, whether they arrived or not. */
  int calls;

  private final VirtualTime time;
  private final Conditions conditions;
  private final Oracle oracle;
  private final double rate;
  private WorkerModel model;
  private int boots;

  WorkerNode(String name, String zone, VirtualTime time, Conditions conditions, Oracle oracle) {
    this.name = name;
    this.zone = zone;
    this.time = time;
    this.conditions = conditions;
    this.oracle = oracle;
    this.rate = 0.99 + conditions.random.nextInt(21) / 1_000.0;
    this.model = boot();
  }

  void kill() {
    dead = true;
    oracle.bootDied(bootId());
  }

  void restart() {
    oracle.bootDied(bootId());
    model = boot();
    dead = false;
  }

  void handle(WorkerCall call, Consumer<WorkerReply> reply) {
    if (dead) {
      return;
    }
    Set<TaskRef> running = runningTasks();
    WorkerReply.Builder answer =
        WorkerReply.newBuilder()
            .setCallId(call.getCallId())
            .setWorker(name)
            .setFate(CallFate.ANSWERED);
    answer(call, answer, reply);
    for (TaskStatus status : model.tasks()) {
      if (running.contains(status.getTask()) && status.getPhase() == TaskPhase.TASK_STOPPED) {
        oracle.taskStopped(status.getTask(), status.getCheckpoint());
      }
    }
  }

  private void answer(WorkerCall call, WorkerReply.Builder answer, Consumer<WorkerReply> reply) {
    switch (call.getBodyCase()) {
      case LEASE -> onLease(call.getLease(), answer, reply);
      case REQUEST -> onRequest(call.getRequest(), answer, reply);
      case TASK_START -> reply.accept(answer.setTask(onStart(call.getTaskStart())).build());
      case TASK_STOP -> reply.accept(answer.setTask(onStop(call)).build());
      case TASK_THROTTLE ->
          reply.accept(answer.setTask(model.throttle(call.getTaskThrottle())).build());
      case BODY_NOT_SET -> oracle.breach("an empty call reached " + name);
    }
  }

  private void onLease(LeaseCall call, WorkerReply.Builder answer, Consumer<WorkerReply> reply) {
    LeaseReply lease = injectFault(model.lease(call));
    if (lease.getGranted()) {
      call.getRecordedTasksList().forEach(oracle::taskRecorded);
    }
    reply.accept(answer.setLease(lease).build());
  }

  private LeaseReply injectFault(LeaseReply lease) {
    if (conditions.seededFault == SeededFault.WORKER_HIDES_RUNNING_REQUESTS) {
      return lease.toBuilder().clearRunningRequests().build();
    }
    if (conditions.seededFault != SeededFault.WORKER_DENIES_REQUESTS) {
      return lease;
    }
    LeaseReply.Builder denying = lease.toBuilder();
    denying
        .getFencedBuilderList()
        .forEach(
            fenced -> {
              if (fenced.getFate() == RequestFate.FINISHED) {
                fenced.setFate(RequestFate.NEVER_SEEN);
              }
            });
    return denying.build();
  }

  private void onRequest(
      RequestCall call, WorkerReply.Builder answer, Consumer<WorkerReply> reply) {
    offers++;
    int running = model.running().size();
    WorkerModel start = model;
    start
        .offer(call)
        .ifPresentOrElse(
            refusal -> {
              if (refusal.getResult() == RequestResult.REFUSED_FULL) {
                oracle.requestRefusedAsFull(name, running, CAPACITY.getSlots());
              }
              reply.accept(answer.setRequest(refusal).build());
            },
            () -> {
              oracle.requestStarted(name, call);
              time.after(serviceMillis(), () -> finish(start, call, answer, reply));
            });
  }

  /** Draws a service time: mostly short, sometimes beyond the deadline, rarely beyond a lease. */
  private long serviceMillis() {
    if (conditions.chance(0.01)) {
      return 5L + conditions.random.nextInt(MAX_SERVICE_MILLIS);
    }
    return 5L + conditions.random.nextInt(conditions.chance(0.1) ? 1_500 : 80);
  }

  private void finish(
      WorkerModel start,
      RequestCall call,
      WorkerReply.Builder answer,
      Consumer<WorkerReply> reply) {
    if (dead || start != model) {
      return;
    }
    RequestResult result =
        failsEverything ? RequestResult.REQUEST_FAILED : RequestResult.REQUEST_DONE;
    ByteString body = ByteString.copyFromUtf8("echo ").concat(call.getBody());
    RequestReply done = model.finish(call, result, body);
    reply.accept(answer.setRequest(done).build());
  }

  private TaskReply onStart(TaskStartCall call) {
    offers++;
    boolean known = model.tasks().stream().anyMatch(t -> t.getTask().equals(call.getTask()));
    TaskReply reply = model.start(call);
    if (reply.getAccepted() && !known) {
      oracle.taskStarted(bootId(), call.getTask(), call.getCheckpoint());
      run(model, reply.getStatus());
    }
    return reply;
  }

  private TaskReply onStop(WorkerCall call) {
    TaskRef task = call.getTaskStop().getTask();
    model.checkpoint(task, name + "/" + task.getAttempt() + "/" + time.millis());
    return model.stop(call.getTaskStop());
  }

  private Set<TaskRef> runningTasks() {
    Set<TaskRef> running = new HashSet<>();
    for (TaskStatus status : model.tasks()) {
      if (status.getPhase() == TaskPhase.TASK_RUNNING) {
        running.add(status.getTask());
      }
    }
    return running;
  }

  private void run(WorkerModel start, TaskStatus status) {
    long runTime = minRunMillis + 300L + conditions.random.nextInt(4_000);
    time.after(
        runTime,
        () -> {
          if (dead || start != model || !runningTasks().contains(status.getTask())) {
            return;
          }
          TaskPhase phase = failsEverything ? TaskPhase.TASK_FAILED : TaskPhase.TASK_DONE;
          model.finishTask(status.getTask(), phase, ByteString.copyFromUtf8("result"));
          oracle.taskCompleted(bootId(), status.getTask(), phase == TaskPhase.TASK_DONE);
        });
  }

  private WorkerModel boot() {
    boots++;
    DriftingClock clock = new DriftingClock(time, 0, rate);
    return new WorkerModel(name, CAPACITY, clock, name + "-boot-" + boots, time.millis());
  }

  private String bootId() {
    return name + "#" + boots;
  }
}
