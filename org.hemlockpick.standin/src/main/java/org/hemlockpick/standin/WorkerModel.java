package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.hemlockpick.proto.Capacity;
import org.hemlockpick.proto.FencedRequest;
import org.hemlockpick.proto.LeaseCall;
import org.hemlockpick.proto.LeaseReply;
import org.hemlockpick.proto.RequestCall;
import org.hemlockpick.proto.RequestFate;
import org.hemlockpick.proto.RequestReply;
import org.hemlockpick.proto.RequestResult;
import org.hemlockpick.proto.Resources;
import org.hemlockpick.proto.RunningRequest;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskReply;
import org.hemlockpick.proto.TaskStartCall;
import org.hemlockpick.proto.TaskStatus;
import org.hemlockpick.proto.TaskStopCall;
import org.hemlockpick.proto.TaskThrottleCall;

/**
 * Models the state of a worker, without sockets or threads: its lease, running requests and tasks.
 *
 * <p>The worker itself grants the lease, for a limited time. Every new holder gets a higher epoch,
 * and work under any other epoch is refused. Running work survives the expiry of the lease, but
 * tasks are stopped once nobody has held the lease for {@link #ORPHAN_TIMEOUT_MILLIS}.
 */
public final class WorkerModel {
  /** Time for which tasks keep running while nobody holds the lease, in milliseconds. */
  public static final long ORPHAN_TIMEOUT_MILLIS = 120_000;

  private final String name;
  private final Capacity capacity;
  private final InstantSource clock;
  private final String boot;

  private long epoch;
  private String owner = "";
  private long incarnation;
  private long leaseUntil;
  private boolean leaving;

  private long firstEpochOfOwner;
  private long settledBelow;
  private final TreeSet<Long> finished = new TreeSet<>();
  private final TreeSet<Long> fenced = new TreeSet<>();
  private final Map<RunningRequest, RequestCall> running = new LinkedHashMap<>();
  private final Map<TaskRef, TaskStatus> tasks = new LinkedHashMap<>();
  private final Map<TaskRef, Integer> throttles = new LinkedHashMap<>();

  /**
   * Creates a worker that has just started.
   *
   * @param name name of the worker
   * @param capacity capacity of the worker
   * @param clock source of time
   * @param boot identifier of this boot; unique among all boots
   * @param firstEpoch number lower than all epochs of this boot and higher than those of earlier
   *     boots
   */
  public WorkerModel(
      String name, Capacity capacity, InstantSource clock, String boot, long firstEpoch) {
    this.name = name;
    this.capacity = capacity;
    this.clock = clock;
    this.boot = boot;
    this.epoch = firstEpoch;
    this.firstEpochOfOwner = firstEpoch + 1;
  }

  /** Returns the name of the worker. */
  public String name() {
    return name;
  }

  /** Returns the identifier of this boot. */
  public String boot() {
    return boot;
  }

  /** Makes the worker refuse new work from now on. */
  public void leave() {
    leaving = true;
  }

  /** Returns whether the worker refuses new work. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Returns the requests that are running. */
  public Map<RunningRequest, RequestCall> running() {
    return Collections.unmodifiableMap(running);
  }

  /** Returns the status of every task that the worker has not forgotten yet. */
  public Collection<TaskStatus> tasks() {
    return Collections.unmodifiableCollection(tasks.values());
  }

  /** Returns the percentage of its CPU that a task may use. */
  public int throttle(TaskRef task) {
    return throttles.getOrDefault(task, 100);
  }

  /** Grants, renews or releases the lease, and reports the running requests and the tasks. */
  public LeaseReply lease(LeaseCall call) {
    stopOrphans();
    long now = clock.millis();
    boolean leaseFree = owner.isEmpty() || now >= leaseUntil;
    boolean sameOwner = call.getOwner().equals(owner) && call.getIncarnation() == incarnation;
    if (call.getRelease()) {
      if (sameOwner && call.getEpoch() == epoch) {
        leaseUntil = now;
        owner = "";
      }
      return report().setHolder(owner).build();
    }
    if (call.getEpoch() == 0) {
      if (!leaseFree && !sameOwner) {
        return refusal(now);
      }
      grantNewEpoch(call);
    } else if (!sameOwner || call.getEpoch() != epoch || leaseFree) {
      return refusal(now);
    }
    leaseUntil = now + call.getTtlMillis();
    discardSettled(call.getSettledBelow());
    LeaseReply.Builder reply = report().setGranted(true).setHolder(owner);
    call.getFenceRequestsList().forEach(request -> reply.addFenced(fence(request)));
    call.getRecordedTasksList().forEach(this::forget);
    return reply.build();
  }

  /**
   * Starts a request or refuses it.
   *
   * @return the refusal, or empty if the request was started and {@link #finish} must follow. A
   *     duplicate of a request that has run or is running is refused without a result.
   */
  public Optional<RequestReply> offer(RequestCall call) {
    long sequence = call.getSequence();
    RunningRequest key = key(call);
    boolean mayHaveRun =
        sequence < settledBelow || finished.contains(sequence) || running.containsKey(key);
    if (mayHaveRun) {
      return Optional.of(reply(sequence, RequestResult.REQUEST_RESULT_UNSPECIFIED));
    }
    if (!isCurrent(call.getEpoch()) || fenced.contains(sequence)) {
      return Optional.of(reply(sequence, RequestResult.REFUSED_STALE));
    }
    if (leaving) {
      return Optional.of(refusePermanently(sequence, RequestResult.REFUSED_LEAVING));
    }
    if (running.size() >= capacity.getSlots()) {
      return Optional.of(refusePermanently(sequence, RequestResult.REFUSED_FULL));
    }
    running.put(key, call);
    return Optional.empty();
  }

  /** Completes a running request and returns its answer. */
  public RequestReply finish(RequestCall call, RequestResult result, ByteString body) {
    running.remove(key(call));
    if (call.getEpoch() >= firstEpochOfOwner) {
      finished.add(call.getSequence());
    }
    return reply(call.getSequence(), result).toBuilder().setBody(body).build();
  }

  /** Starts a task. If this attempt was started or stopped before, its state does not change. */
  public TaskReply start(TaskStartCall call) {
    TaskStatus known = tasks.get(call.getTask());
    boolean current = isCurrent(call.getEpoch()) && call.getBoot().equals(boot);
    if (!current || (known == null && (leaving || !fits(call.getResources())))) {
      return TaskReply.getDefaultInstance();
    }
    if (known == null) {
      known =
          TaskStatus.newBuilder()
              .setTask(call.getTask())
              .setPhase(TaskPhase.TASK_RUNNING)
              .setCheckpoint(call.getCheckpoint())
              .setKind(call.getKind())
              .setResources(call.getResources())
              .build();
      tasks.put(call.getTask(), known);
    }
    return TaskReply.newBuilder().setAccepted(true).setStatus(known).build();
  }

  /**
   * Stops a task permanently, keeping its latest checkpoint: this attempt never runs afterwards.
   */
  public TaskReply stop(TaskStopCall call) {
    if (!isCurrent(call.getEpoch()) || !call.getBoot().equals(boot)) {
      return TaskReply.getDefaultInstance();
    }
    TaskStatus known =
        tasks.getOrDefault(
            call.getTask(),
            TaskStatus.newBuilder()
                .setTask(call.getTask())
                .setPhase(TaskPhase.TASK_STOPPED)
                .build());
    TaskStatus stopped = known.getPhase() == TaskPhase.TASK_RUNNING ? stopped(known) : known;
    tasks.put(call.getTask(), stopped);
    return TaskReply.newBuilder().setAccepted(true).setStatus(stopped).build();
  }

  /** Limits the CPU of a task. */
  public TaskReply throttle(TaskThrottleCall call) {
    TaskStatus known = tasks.get(call.getTask());
    if (!isCurrent(call.getEpoch()) || !call.getBoot().equals(boot) || known == null) {
      return TaskReply.getDefaultInstance();
    }
    throttles.put(call.getTask(), call.getCpuPercent());
    return TaskReply.newBuilder().setAccepted(true).setStatus(known).build();
  }

  /** Completes a running task. */
  public void finishTask(TaskRef task, TaskPhase phase, ByteString result) {
    TaskStatus known = tasks.get(task);
    if (known != null && known.getPhase() == TaskPhase.TASK_RUNNING) {
      tasks.put(task, known.toBuilder().setPhase(phase).setResult(result).build());
    }
  }

  /** Records the latest checkpoint of a running task. */
  public void checkpoint(TaskRef task, String checkpoint) {
    TaskStatus known = tasks.get(task);
    if (known != null && known.getPhase() == TaskPhase.TASK_RUNNING) {
      tasks.put(task, known.toBuilder().setCheckpoint(checkpoint).build());
    }
  }

  /** Stops the running tasks if nobody has held the lease for {@link #ORPHAN_TIMEOUT_MILLIS}. */
  public void stopOrphans() {
    if (clock.millis() < leaseUntil + ORPHAN_TIMEOUT_MILLIS) {
      return;
    }
    tasks.replaceAll(
        (task, status) -> status.getPhase() == TaskPhase.TASK_RUNNING ? stopped(status) : status);
  }

  private void grantNewEpoch(LeaseCall call) {
    boolean sameOwner = call.getOwner().equals(owner) && call.getIncarnation() == incarnation;
    epoch++;
    owner = call.getOwner();
    incarnation = call.getIncarnation();
    if (!sameOwner) {
      firstEpochOfOwner = epoch;
      settledBelow = 0;
      finished.clear();
      fenced.clear();
    }
  }

  private LeaseReply refusal(long now) {
    return LeaseReply.newBuilder()
        .setHolder(owner)
        .setRemainingMillis((int) Math.max(0, leaseUntil - now))
        .setBoot(boot)
        .build();
  }

  private LeaseReply.Builder report() {
    LeaseReply.Builder report =
        LeaseReply.newBuilder()
            .setEpoch(epoch)
            .setBoot(boot)
            .setCapacity(capacity)
            .setLeaving(leaving)
            .addAllRunningRequests(running.keySet())
            .addAllTasks(tasks.values());
    Resources used = used();
    return report.setCpuMillisUsed(used.getCpuMillis()).setMemoryMbUsed(used.getMemoryMb());
  }

  private FencedRequest fence(RunningRequest request) {
    FencedRequest.Builder answer = FencedRequest.newBuilder().setSequence(request.getSequence());
    if (running.containsKey(request)) {
      return answer.setFate(RequestFate.IN_PROGRESS).build();
    }
    if (request.getEpoch() < firstEpochOfOwner) {
      return answer.setFate(RequestFate.REQUEST_FATE_UNSPECIFIED).build();
    }
    if (finished.contains(request.getSequence())) {
      return answer.setFate(RequestFate.FINISHED).build();
    }
    fenced.add(request.getSequence());
    return answer.setFate(RequestFate.NEVER_SEEN).build();
  }

  private void discardSettled(long below) {
    settledBelow = Math.max(settledBelow, below);
    finished.headSet(settledBelow).clear();
    fenced.headSet(settledBelow).clear();
  }

  private void forget(TaskRef task) {
    TaskStatus known = tasks.get(task);
    if (known != null && known.getPhase() != TaskPhase.TASK_RUNNING) {
      tasks.remove(task);
      throttles.remove(task);
    }
  }

  private boolean isCurrent(long callEpoch) {
    return callEpoch == epoch && !owner.isEmpty() && clock.millis() < leaseUntil;
  }

  private boolean fits(Resources requested) {
    Resources used = used();
    return used.getCpuMillis() + requested.getCpuMillis() <= capacity.getCpuMillis()
        && used.getMemoryMb() + requested.getMemoryMb() <= capacity.getMemoryMb()
        && used.getAccelerators() + requested.getAccelerators() <= capacity.getAccelerators();
  }

  private Resources used() {
    List<Resources> running = new ArrayList<>();
    for (TaskStatus status : tasks.values()) {
      if (status.getPhase() == TaskPhase.TASK_RUNNING) {
        running.add(status.getResources());
      }
    }
    return Resources.newBuilder()
        .setCpuMillis(running.stream().mapToInt(Resources::getCpuMillis).sum())
        .setMemoryMb(running.stream().mapToInt(Resources::getMemoryMb).sum())
        .setAccelerators(running.stream().mapToInt(Resources::getAccelerators).sum())
        .build();
  }

  /** Refuses a request permanently: later duplicates of it do not run either. */
  private RequestReply refusePermanently(long sequence, RequestResult result) {
    fenced.add(sequence);
    return reply(sequence, result);
  }

  private static TaskStatus stopped(TaskStatus status) {
    return status.toBuilder().setPhase(TaskPhase.TASK_STOPPED).build();
  }

  private static RunningRequest key(RequestCall call) {
    return RunningRequest.newBuilder()
        .setEpoch(call.getEpoch())
        .setSequence(call.getSequence())
        .build();
  }

  private static RequestReply reply(long sequence, RequestResult result) {
    return RequestReply.newBuilder().setSequence(sequence).setResult(result).build();
  }
}
