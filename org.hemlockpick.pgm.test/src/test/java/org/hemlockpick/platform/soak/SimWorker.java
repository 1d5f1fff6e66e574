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
import org.hemlockpick.platform.soak.Web.Call;
import org.hemlockpick.platform.soak.Web.Reply;

/** A worker as the platform has it: runs tasks under a lease, and lists their ends. */
final class SimWorker {
  /** Longest lease of what runs, in milliseconds. */
  static final long MAX_LEASE_MILLIS = 6_000;

  /** Longest time that a stop takes, in milliseconds. */
  static final int MAX_STOP_MILLIS = 400;

  private static final int CPU_MILLIS = 12_000;
  private static final int MAX_ENDS = 500;
  private static final int MAX_WAIT_MILLIS = 2_000;
  private static final int LEAST_TASK_MILLIS = 1_000;
  private static final int MOST_TASK_MILLIS = 6_000;
  private static final int MOST_FAILING_MILLIS = 2_000;
  private static final double FAILURE = 0.12;
  private static final int REFUSED = 409;

  private final World world;
  private final Oracle oracle;
  private final Faults faults;
  private final Runnable advanceAll;
  private final Web web;
  private final String id;

  private final Map<String, SimRun> runs = new LinkedHashMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private final NavigableMap<Long, End> ends = new TreeMap<>();
  private boolean up;
  private int boot;
  private long bootAt;
  private double rate;
  private long fence;
  private long leaseUntil;
  private long lastEnd;
  private long seq;

  /**
   * Starts its first boot.
   *
   * @param advanceAll lets pass what is due at all workers
   */
  SimWorker(World world, Oracle oracle, Faults faults, Runnable advanceAll, String id)
      throws IOException {
    this.advanceAll = advanceAll;
    this.world = world;
    this.oracle = oracle;
    this.faults = faults;
    this.id = id;
    this.web = new Web(this::handle);
    boot();
  }

  private record End(String task, int attempt, String how) {}

  String id() {
    return id;
  }

  /** Returns its name with the number of its boot. */
  String label() {
    return id + "/" + boot;
  }

  boolean isUp() {
    return up;
  }

  void close() {
    web.close();
  }

  /** Starts anew: it knows nothing of before. */
  void boot() {
    boot++;
    up = true;
    bootAt = world.now();
    rate = 1 - world.between(0, 20) / 1_000.0;
    fence = 0;
    leaseUntil = 0;
    lastEnd = 0;
    seq = 0;
    highest.clear();
    ends.clear();
  }

  /** Ends without a word; what runs ends too. */
  void crash() {
    advance();
    new ArrayList<>(runs.values()).forEach(run -> end(run, "crashed"));
    ends.clear();
    up = false;
    world.notifyAll();
  }

  /** Returns what it says of itself in the platform's list. */
  ObjectNode entry() {
    ObjectNode entry = Web.newObject().put("service", Platform.SERVICE);
    entry.put("address", web.address()).put("zone", "kgn-a").put("version", "1").put("slots", 8);
    entry.put("state", "ready").put("cold_left_ms", 0).put("born", world.wall(bootAt));
    entry.put("seq", ++seq);
    entry.putObject("capacity").put("cpu", CPU_MILLIS).put("mem_mb", 64_000).put("gpu", 0);
    entry.putArray("labels").add("kind-a").add("r1-1");
    return entry;
  }

  private long clock() {
    return (long) ((world.now() - bootAt) * rate);
  }

  /** Lets pass what is due: ends of runs, and the end of the lease. */
  void advance() {
    long now = world.now();
    while (!runs.isEmpty()) {
      SimRun next = next();
      long lapsesAt = bootAt + (long) Math.ceil(leaseUntil / rate);
      if (Math.min(next.nextAt(), lapsesAt) > now) {
        return;
      }
      if (lapsesAt <= next.nextAt()) {
        world.note("the lease of " + label() + " ended with " + runs.size() + " runs");
        new ArrayList<>(runs.values()).forEach(run -> end(run, "lapsed"));
      } else {
        end(next, next.how());
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

  private void end(SimRun run, String how) {
    runs.remove(run.task());
    highest.merge(run.task(), run.attempt(), Math::max);
    ends.put(++lastEnd, new End(run.task(), run.attempt(), how));
    oracle.onEnd(this, run, how);
    world.notifyAll();
  }

  private Reply handle(Call call) throws InterruptedException {
    int meant;
    synchronized (world) {
      meant = boot;
      if (!up) {
        return Reply.none(0);
      }
      long token = call.body().path("fencing_token").asLong();
      Faults.Fate fate = faults.order(id, token);
      if (fate.lateMillis() > 0) {
        world.later(fate.lateMillis(), () -> carryOutLate(call, meant));
      }
      if (!fate.carriedOut()) {
        return Reply.none(fate.silentMillis());
      }
      Reply reply = answer(call, meant, false);
      return fate.answered() ? reply : Reply.none(fate.silentMillis());
    }
  }

  private void carryOutLate(Call call, int meant) {
    if (!up || boot != meant) {
      return;
    }
    String what = call.body().path("task").asText("");
    world.note("late at " + label() + ": " + call.path() + " " + what);
    try {
      Reply unused = answer(call, meant, true);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Reply answer(Call call, int meant, boolean late) throws InterruptedException {
    if (!call.intended().isEmpty() && !call.intended().equals(id)) {
      return Reply.of(421, Web.newObject());
    }
    advanceAll.run();
    JsonNode body = call.body();
    long token = body.path("fencing_token").asLong();
    oracle.onOrder(this, call.path(), token, fence);
    if (token < fence) {
      return refusal("fence");
    }
    fence = token;
    return switch (call.path()) {
      case "/v1/run-start" -> start(body, token, late);
      case "/v1/run-stop" -> stop(body);
      case "/v1/pace" -> Reply.of(200, head());
      case "/v1/hold" -> hold(body, token, meant, late);
      default -> Reply.of(404, Web.newObject());
    };
  }

  private Reply start(JsonNode body, long token, boolean late) {
    long until = body.path("deadline_ms").asLong();
    if (until <= clock()) {
      return refusal("late");
    }
    grant(until);
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    SimRun there = runs.get(task);
    if (there != null && there.attempt() == attempt) {
      return Reply.of(200, head());
    }
    if (attempt <= highest.getOrDefault(task, 0) || there != null) {
      return refusal("old");
    }
    JobPlan plan = oracle.plan(task);
    int cpu = plan.cpuMillis();
    int used = runs.values().stream().mapToInt(SimRun::cpuMillis).sum();
    if (used + cpu > CPU_MILLIS) {
      return refusal("room");
    }
    long now = world.now();
    long end = now + takes(plan);
    boolean fails = plan.failsOften() ? oracle.mayFail(task) : world.roll(FAILURE);
    SimRun run = new SimRun(task, attempt, token, cpu, now, end, fails, Long.MAX_VALUE);
    oracle.onStart(this, run, late);
    runs.put(task, run);
    return Reply.of(200, head());
  }

  private int takes(JobPlan plan) {
    return world.between(
        LEAST_TASK_MILLIS, plan.failsOften() ? MOST_FAILING_MILLIS : MOST_TASK_MILLIS);
  }

  private Reply stop(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    highest.merge(task, attempt, Math::max);
    SimRun run = runs.get(task);
    if (run != null && run.attempt() <= attempt && run.stopsAt() == Long.MAX_VALUE) {
      runs.put(task, run.stopping(world.now() + world.between(0, MAX_STOP_MILLIS)));
    }
    return Reply.of(200, head());
  }

  private Reply hold(JsonNode body, long token, int meant, boolean late)
      throws InterruptedException {
    boolean lapsed = clock() >= leaseUntil;
    if (body.has("deadline_ms")) {
      grant(body.path("deadline_ms").asLong());
    }
    confirm(body.path("ack_cursor").asLong(), token, lapsed);
    long until = world.now() + Math.min(MAX_WAIT_MILLIS, body.path("wait_ms").asLong());
    while (!late && ends.isEmpty() && world.now() < until && boot == meant && up) {
      world.wait(Math.max(1, until - world.now()));
      advance();
    }
    return boot == meant && up ? Reply.of(200, lists()) : Reply.none(0);
  }

  private void confirm(long number, long token, boolean lapsed) {
    if (number > lastEnd) {
      world.note(
          "%s has %d ends, and %d are confirmed by %s"
              .formatted(label(), lastEnd, number, oracle.ordered(token)));
    }
    Map<Long, End> confirmed = ends.headMap(number, true);
    if (!lapsed) {
      confirmed.values().forEach(end -> oracle.onConfirmed(this, end.task(), end.how(), token));
    }
    confirmed.clear();
  }

  private ObjectNode lists() {
    ObjectNode body = head();
    ArrayNode running = body.putArray("running");
    for (SimRun run : runs.values()) {
      running
          .addArray()
          .add(run.task())
          .add(run.attempt())
          .add("")
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
              ((ArrayNode) ended.get(ended.size() - 1)).add(end.how()).add("");
            });
    return body;
  }

  private void grant(long until) {
    leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + MAX_LEASE_MILLIS));
  }

  private ObjectNode head() {
    return Web.newObject().put("clock_ms", clock()).put("born", world.wall(bootAt));
  }

  private Reply refusal(String reason) {
    return Reply.of(REFUSED, head().put("reason", reason));
  }

  /** Tells whether an end is not confirmed. */
  boolean hasEnds() {
    return !ends.isEmpty();
  }
}
