package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageOrBuilder;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.proto.LeaseCall;
import org.hemlockpick.proto.LeaseReply;
import org.hemlockpick.proto.RequestCall;
import org.hemlockpick.proto.RequestReply;
import org.hemlockpick.proto.RequestResult;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskReply;
import org.hemlockpick.proto.TaskStartCall;
import org.hemlockpick.proto.TaskStatus;
import org.hemlockpick.proto.TaskStopCall;
import org.hemlockpick.proto.TaskThrottleCall;

/**
 * Stand-in for a worker. It handles POST /v1/lease, /v1/requests, /v1/tasks/start, /v1/tasks/stop
 * and /v1/tasks/throttle with the corresponding messages.
 *
 * <p>A request whose body is a JSON object fails if {@code "fail"} is true, takes {@code
 * "sleepMillis"} if given, and appears on the timeline with its {@code "label"}. A task payload may
 * contain {@code "fail"} and {@code "runMillis"}.
 */
public final class WorkerStandIn implements StandIn, AutoCloseable {
  private static final long TICK_MILLIS = 50;
  private static final long PAYLOAD_RETRY_MILLIS = 500;

  private final WorkerSettings settings;
  private final InstantSource time;
  private final ScheduledExecutorService executor;
  private final PayloadSource payloads;
  private final Timeline timeline;
  private final WorkerModel model;
  private final Map<TaskRef, RunningTask> tasks = new HashMap<>();
  private final Future<?> ticker;
  private long lastTick;

  /**
   * Creates a worker that has just started.
   *
   * @param time source of time
   * @param executor runs the worker's timers; is not shut down by the worker
   * @param payloads source of task payloads
   */
  public WorkerStandIn(
      WorkerSettings settings,
      InstantSource time,
      ScheduledExecutorService executor,
      PayloadSource payloads) {
    this.settings = settings;
    this.time = time;
    this.executor = executor;
    this.payloads = payloads;
    this.timeline = new Timeline(settings.name(), time);
    this.lastTick = time.millis();
    // Epochs count up from the start time, so those of a restarted worker are higher.
    this.model =
        new WorkerModel(
            settings.name(), settings.capacity(), time, UUID.randomUUID().toString(), lastTick);
    this.ticker =
        executor.scheduleWithFixedDelay(
            this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public Timeline timeline() {
    return timeline;
  }

  /** Stops the progress of all tasks immediately, as a crash would. */
  @Override
  public void close() {
    ticker.cancel(false);
  }

  /** Makes the worker refuse new work. */
  public synchronized void leave() {
    if (!model.isLeaving()) {
      model.leave();
      timeline.write("leaving", settings.name(), "");
    }
  }

  @Override
  public CompletableFuture<Reply> handle(Call call) {
    if (!call.method().equals("POST")) {
      throw new CallException(404, Messages.noSuchPath(call.method(), call.path()));
    }
    return switch (call.path()) {
      case "/v1/lease" ->
          completed(lease(MessageJson.merge(call.body(), LeaseCall.newBuilder()).build()));
      case "/v1/requests" ->
          request(MessageJson.merge(call.body(), RequestCall.newBuilder()).build());
      case "/v1/tasks/start" ->
          completed(start(MessageJson.merge(call.body(), TaskStartCall.newBuilder()).build()));
      case "/v1/tasks/stop" ->
          completed(stop(MessageJson.merge(call.body(), TaskStopCall.newBuilder()).build()));
      case "/v1/tasks/throttle" ->
          completed(
              throttle(MessageJson.merge(call.body(), TaskThrottleCall.newBuilder()).build()));
      default -> throw new CallException(404, Messages.noSuchPath(call.method(), call.path()));
    };
  }

  private synchronized LeaseReply lease(LeaseCall call) {
    LeaseReply reply = model.lease(call);
    if (call.getEpoch() == 0 || call.getRelease()) {
      String kind = call.getRelease() ? "lease-released" : "lease-asked";
      String detail = "granted " + reply.getGranted() + " epoch " + reply.getEpoch();
      timeline.write(kind, call.getOwner(), detail);
    }
    return reply;
  }

  private CompletableFuture<Reply> request(RequestCall call) {
    RequestPlan plan = RequestPlan.of(call.getBody(), settings.serviceTime().toMillis());
    Optional<RequestReply> refusal = offer(call, plan);
    if (refusal.isPresent()) {
      return completed(refusal.get());
    }
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    var unused =
        executor.schedule(
            () -> answer.complete(Reply.of(finish(call, plan))),
            Math.max(0, plan.runMillis()),
            TimeUnit.MILLISECONDS);
    return answer;
  }

  private synchronized Optional<RequestReply> offer(RequestCall call, RequestPlan plan) {
    Optional<RequestReply> refusal = model.offer(call);
    String outcome = refusal.map(reply -> reply.getResult().name()).orElse("request-started");
    timeline.write(outcome, subject(call), plan.label());
    return refusal;
  }

  private synchronized RequestReply finish(RequestCall call, RequestPlan plan) {
    RequestResult result = plan.fails() ? RequestResult.REQUEST_FAILED : RequestResult.REQUEST_DONE;
    timeline.write(result.name(), subject(call), plan.label());
    return model.finish(call, result, Payloads.echo(settings.name(), call.getBody()));
  }

  private synchronized TaskReply start(TaskStartCall call) {
    TaskReply reply = model.start(call);
    boolean running = reply.getStatus().getPhase() == TaskPhase.TASK_RUNNING;
    if (reply.getAccepted() && running && !tasks.containsKey(call.getTask())) {
      RunningTask task = new RunningTask(call.getTask(), call.getCheckpoint());
      tasks.put(call.getTask(), task);
      timeline.write("task-started", subject(call.getTask()), call.getCheckpoint());
      loadPlan(task, call.getPayload());
    }
    return reply;
  }

  private synchronized TaskReply stop(TaskStopCall call) {
    RunningTask task = tasks.get(call.getTask());
    if (task == null) {
      return model.stop(call);
    }
    String previousCheckpoint = checkpointOf(call.getTask());
    model.checkpoint(call.getTask(), task.checkpoint());
    TaskReply reply = model.stop(call);
    if (!reply.getAccepted()) {
      model.checkpoint(call.getTask(), previousCheckpoint);
      return reply;
    }
    tasks.remove(call.getTask());
    timeline.write("task-stopped", subject(call.getTask()), reply.getStatus().getCheckpoint());
    return reply;
  }

  private synchronized TaskReply throttle(TaskThrottleCall call) {
    TaskReply reply = model.throttle(call);
    if (reply.getAccepted()) {
      timeline.write("task-throttled", subject(call.getTask()), call.getCpuPercent() + " %");
    }
    return reply;
  }

  private void loadPlan(RunningTask task, String payload) {
    if (payload.isEmpty()) {
      setPlan(task, ByteString.EMPTY);
      return;
    }
    var unused =
        payloads
            .fetch(payload)
            .whenComplete(
                (fetched, thrown) -> {
                  if (thrown == null) {
                    setPlan(task, fetched);
                  } else {
                    retryLoadPlan(task, payload);
                  }
                });
  }

  private void retryLoadPlan(RunningTask task, String payload) {
    var unused =
        executor.schedule(
            () -> loadPlan(task, payload), PAYLOAD_RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private synchronized void setPlan(RunningTask task, ByteString payload) {
    task.setPlan(TaskPlan.of(payload, settings.taskTime().toMillis()));
  }

  private synchronized void tick() {
    long now = time.millis();
    long elapsed = Math.max(0, now - lastTick);
    lastTick = now;
    model.stopOrphans();
    removeStopped();
    List.copyOf(tasks.values()).forEach(task -> advance(task, elapsed));
  }

  private void advance(RunningTask task, long millis) {
    task.advance(millis, model.throttle(task.task()));
    if (task.isDone()) {
      finish(task);
    } else if (task.isCheckpointDue(settings.checkpointInterval().toMillis())) {
      model.checkpoint(task.task(), task.checkpoint());
    }
  }

  private void finish(RunningTask task) {
    TaskPhase phase = task.fails() ? TaskPhase.TASK_FAILED : TaskPhase.TASK_DONE;
    tasks.remove(task.task());
    ByteString result =
        Payloads.echo(settings.name(), ByteString.copyFromUtf8(subject(task.task())));
    model.finishTask(task.task(), phase, result);
    timeline.write(phase.name(), subject(task.task()), "");
  }

  private void removeStopped() {
    for (TaskStatus status : model.tasks()) {
      boolean stopped = status.getPhase() != TaskPhase.TASK_RUNNING;
      if (stopped && tasks.remove(status.getTask()) != null) {
        timeline.write("task-orphaned", subject(status.getTask()), status.getCheckpoint());
      }
    }
  }

  private String checkpointOf(TaskRef task) {
    return model.tasks().stream()
        .filter(status -> status.getTask().equals(task))
        .map(TaskStatus::getCheckpoint)
        .findFirst()
        .orElse("");
  }

  private static CompletableFuture<Reply> completed(MessageOrBuilder message) {
    return CompletableFuture.completedFuture(Reply.of(message));
  }

  private static String subject(RequestCall call) {
    return String.format(
        "%s/%s %d/%d", call.getCustomer(), call.getService(), call.getEpoch(), call.getSequence());
  }

  private static String subject(TaskRef task) {
    return task.getJob() + "/" + task.getIndex() + "/" + task.getAttempt();
  }
}
