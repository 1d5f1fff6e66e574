package org.hemlockpick.platform.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hemlockpick.platform.soak.StubHttpServer.Call;
import org.hemlockpick.platform.soak.StubHttpServer.Reply;

/** Simulates a worker of the platform: runs tasks under a lease and reports completions. */
final class SimWorker {
  /** Maximum lease of the runs, in milliseconds. */
  static final long MAX_LEASE_MILLIS = 6_000;

  /** Maximum time that stopping a run takes, in milliseconds. */
  static final int MAX_STOP_MILLIS = 400;

  private static final int CPU_MILLIS = 12_000;
  private static final int MAX_ENDS = 500;
  private static final int MAX_WAIT_MILLIS = 2_000;
  private static final int MIN_TASK_MILLIS = 1_000;
  private static final int MAX_TASK_MILLIS = 6_000;
  private static final int MAX_FAILING_TASK_MILLIS = 2_000;
  private static final double FAILURE_PROBABILITY = 0.12;
  private static final int REFUSED = 409;

  /** Time from the start of a task that crashes its worker to the crash. */
  private static final int DEADLY_MILLIS = 10;

  private final World world;
  private final Oracle oracle;
  private final Faults faults;
  private final Runnable advanceAll;
  private final Consumer<SimWorker> crashed;
  private final StubHttpServer server;
  private String id;

  private final Map<String, SimRun> runs = new LinkedHashMap<>();
  private final Map<String, Integer> highestAttempts = new HashMap<>();
  private final NavigableMap<Long, End> ends = new TreeMap<>();
  private boolean up;
  private int boot;
  private long bootAt;
  private double clockRate;
  private long highestToken;
  private long leaseUntil;
  private long lastEndNumber;
  private long seq;

  /**
   * Creates the worker and starts its first boot.
   *
   * @param advanceAll processes the due events of all workers
   * @param crashed crashes a worker on which a task has run that does so
   */
  SimWorker(
      World world,
      Oracle oracle,
      Faults faults,
      Runnable advanceAll,
      Consumer<SimWorker> crashed,
      String id)
      throws IOException {
    this.advanceAll = advanceAll;
    this.crashed = crashed;
    this.world = world;
    this.oracle = oracle;
    this.faults = faults;
    this.id = id;
    this.server = new StubHttpServer(this::handle);
    boot();
  }

  private record End(String task, int attempt, String kind) {}

  String id() {
    return id;
  }

  /** Returns the worker id and the boot number. */
  String label() {
    return id + "/" + boot;
  }

  boolean isUp() {
    return up;
  }

  void close() {
    server.close();
  }

  /** Starts a new boot, which has no state of earlier ones. */
  void boot() {
    boot++;
    up = true;
    bootAt = world.now();
    clockRate = 1 - world.between(0, 20) / 1_000.0;
    highestToken = 0;
    leaseUntil = 0;
    lastEndNumber = 0;
    seq = 0;
    highestAttempts.clear();
    ends.clear();
  }

  /** Crashes, and refuses connections until {@link #bootAs}. */
  void crashWithItsMachine() {
    crash();
    server.close();
  }

  /** Starts a new boot under another identifier. */
  void bootAs(String newId) {
    id = newId;
    boot();
    server.reopen();
  }

  /** Crashes without notice; all runs end too. */
  void crash() {
    advance();
    new ArrayList<>(runs.values()).forEach(run -> end(run, "crashed"));
    ends.clear();
    up = false;
    world.notifyAll();
  }

  /** Returns the worker's entry in the platform's list of workers. */
  ObjectNode entry() {
    ObjectNode entry = StubHttpServer.newObject().put("service", Platform.SERVICE);
    entry.put("address", server.address()).put("zone", "kgn-a").put("version", "1").put("slots", 8);
    entry.put("state", "ready").put("cold_left_ms", 0).put("born", world.wallMillis(bootAt));
    entry.put("seq", ++seq);
    entry.putObject("capacity").put("cpu", CPU_MILLIS).put("mem_mb", 64_000).put("gpu", 0);
    entry.putArray("labels").add("kind-a").add("r1-1");
    return entry;
  }

  private long clock() {
    return (long) ((world.now() - bootAt) * clockRate);
  }

  /** Processes what is due: completions of runs and the expiry of the lease. */
  void advance() {
    long now = world.now();
    while (!runs.isEmpty()) {
      SimRun next = next();
      long expiresAt = bootAt + (long) Math.ceil(leaseUntil / clockRate);
      if (Math.min(next.nextAt(), expiresAt) > now) {
        return;
      }
      if (expiresAt <= next.nextAt()) {
        world.log("the lease of " + label() + " expired with " + runs.size() + " runs");
        new ArrayList<>(runs.values()).forEach(run -> end(run, "lapsed"));
      } else {
        end(next, next.kind());
      }
    }
  }

  private SimRun next() {
    SimRun next = runs.values().iterator().next();
    for (SimRun run : runs.values()) {
      next = run.nextAt() < next.nextAt() ? run : next;
    }
    return next;
  }

  private void end(SimRun run, String kind) {
    runs.remove(run.task());
    highestAttempts.merge(run.task(), run.attempt(), Math::max);
    ends.put(++lastEndNumber, new End(run.task(), run.attempt(), kind));
    oracle.onEnd(this, run, kind);
    world.notifyAll();
  }

  private Reply handle(Call call) throws InterruptedException {
    int intendedBoot;
    synchronized (world) {
      intendedBoot = boot;
      if (!up) {
        return Reply.none(0);
      }
      long token = call.body().path("fencing_token").asLong();
      Faults.CallOutcome outcome = faults.decideOrder(id, token);
      if (outcome.delayMillis() > 0) {
        world.schedule(outcome.delayMillis(), () -> executeLate(call, intendedBoot));
      }
      if (!outcome.executed()) {
        return Reply.none(outcome.silentMillis());
      }
      Reply reply = execute(call, intendedBoot, false);
      return outcome.answered() ? reply : Reply.none(outcome.silentMillis());
    }
  }

  private void executeLate(Call call, int intendedBoot) {
    if (!up || boot != intendedBoot) {
      return;
    }
    String what = call.body().path("task").asText("");
    world.log("delayed order at " + label() + ": " + call.path() + " " + what);
    try {
      Reply unused = execute(call, intendedBoot, true);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Reply execute(Call call, int intendedBoot, boolean late) throws InterruptedException {
    if (!call.expectedInstance().isEmpty() && !call.expectedInstance().equals(id)) {
      return Reply.of(421, StubHttpServer.newObject());
    }
    advanceAll.run();
    JsonNode body = call.body();
    long token = body.path("fencing_token").asLong();
    oracle.onOrder(this, call.path(), token, highestToken);
    if (token < highestToken) {
      return refusal("fence");
    }
    highestToken = token;
    return switch (call.path()) {
      case "/v1/run-start" -> start(body, token, late);
      case "/v1/run-stop" -> stop(body);
      case "/v1/pace" -> Reply.of(200, head());
      case "/v1/hold" -> hold(body, token, intendedBoot, late);
      default -> Reply.of(404, StubHttpServer.newObject());
    };
  }

  private Reply start(JsonNode body, long token, boolean late) {
    long until = body.path("deadline_ms").asLong();
    if (until <= clock()) {
      return refusal("late");
    }
    extendLease(until);
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    SimRun current = runs.get(task);
    if (current != null && current.attempt() == attempt) {
      return Reply.of(200, head());
    }
    if (attempt <= highestAttempts.getOrDefault(task, 0) || current != null) {
      return refusal("old");
    }
    oracle.onCheckpoint(task, body.path("checkpoint").asText());
    JobPlan plan = oracle.plan(task);
    int cpu = plan.cpuMillis();
    int used = runs.values().stream().mapToInt(SimRun::cpuMillis).sum();
    if (used + cpu > CPU_MILLIS) {
      return refusal("room");
    }
    long now = world.now();
    long end = now + durationMillis(plan);
    boolean fails = plan.failsOften() ? oracle.mayFail(task) : world.roll(FAILURE_PROBABILITY);
    SimRun run = new SimRun(task, attempt, token, cpu, now, end, fails, Long.MAX_VALUE);
    oracle.onStart(this, run, late);
    runs.put(task, run);
    if (plan.isDeadly(task)) {
      int startedIn = boot;
      world.schedule(DEADLY_MILLIS, () -> crashIfUp(startedIn));
    }
    return Reply.of(200, head());
  }

  private void crashIfUp(int startedIn) {
    if (up && boot == startedIn) {
      crashed.accept(this);
    }
  }

  private int durationMillis(JobPlan plan) {
    return world.between(
        MIN_TASK_MILLIS, plan.failsOften() ? MAX_FAILING_TASK_MILLIS : MAX_TASK_MILLIS);
  }

  private Reply stop(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    highestAttempts.merge(task, attempt, Math::max);
    SimRun run = runs.get(task);
    if (run != null && run.attempt() <= attempt && run.stopsAt() == Long.MAX_VALUE) {
      runs.put(task, run.stopping(world.now() + world.between(0, MAX_STOP_MILLIS)));
    }
    return Reply.of(200, head());
  }

  private Reply hold(JsonNode body, long token, int intendedBoot, boolean late)
      throws InterruptedException {
    boolean expired = clock() >= leaseUntil;
    if (body.has("deadline_ms")) {
      extendLease(body.path("deadline_ms").asLong());
    }
    acknowledge(body.path("ack_cursor").asLong(), token, expired);
    long until = world.now() + Math.min(MAX_WAIT_MILLIS, body.path("wait_ms").asLong());
    while (!late && ends.isEmpty() && world.now() < until && boot == intendedBoot && up) {
      world.wait(Math.max(1, until - world.now()));
      advance();
    }
    return boot == intendedBoot && up ? Reply.of(200, holdReply()) : Reply.none(0);
  }

  private void acknowledge(long cursor, long token, boolean expired) {
    if (cursor > lastEndNumber) {
      world.log(
          "%s has %d completions, and %d are acknowledged by %s"
              .formatted(label(), lastEndNumber, cursor, oracle.describeSender(token)));
    }
    Map<Long, End> acknowledged = ends.headMap(cursor, true);
    if (!expired) {
      acknowledged
          .values()
          .forEach(end -> oracle.onAcknowledged(this, end.task(), end.kind(), token));
    }
    acknowledged.clear();
  }

  private ObjectNode holdReply() {
    ObjectNode body = head();
    ArrayNode running = body.putArray("running");
    for (SimRun run : runs.values()) {
      running
          .addArray()
          .add(run.task())
          .add(run.attempt())
          .add(JobPlan.checkpoint(run.task()))
          .add(run.percent(world.now()))
          .add(0);
    }
    ArrayNode ended = body.putArray("ended");
    ends.entrySet().stream()
        .limit(MAX_ENDS)
        .forEach(
            entry -> {
              End end = entry.getValue();
              ended.addArray().add(entry.getKey()).add(end.task()).add(end.attempt());
              ((ArrayNode) ended.get(ended.size() - 1)).add(end.kind());
              ((ArrayNode) ended.get(ended.size() - 1)).add(JobPlan.checkpoint(end.task()));
            });
    return body;
  }

  private void extendLease(long until) {
    leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + MAX_LEASE_MILLIS));
  }

  private ObjectNode head() {
    return StubHttpServer.newObject()
        .put("clock_ms", clock())
        .put("born", world.wallMillis(bootAt));
  }

  private Reply refusal(String reason) {
    return Reply.of(REFUSED, head().put("reason", reason));
  }

  /** Returns whether a completion is not acknowledged yet. */
  boolean hasUnacknowledgedEnds() {
    return !ends.isEmpty();
  }
}
