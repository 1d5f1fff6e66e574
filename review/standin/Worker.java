import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A worker. The first word of a task's spec says how long it runs: a number of milliseconds, or
 * "lasts" for a task that runs until it is stopped.
 */
final class Worker {
  private static final long MAX_WAIT_MILLIS = 2_000;
  private static final int MAX_ENDS = 500;
  private static final long STOP_MILLIS = 100;
  private static final long STARTUP_MILLIS = 300;

  private final World world;
  private final Store store;
  private final int cpuMillis;
  private final long maxLeaseMillis;
  private final StubServer server;
  private final String rack;
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, Integer> highestAttempts = new HashMap<>();
  private final NavigableMap<Long, End> ends = new TreeMap<>();
  private String id;
  private boolean up = true;
  private int boots;
  private long bootAt;
  private long born;
  private long highestToken;
  private long leaseUntil;
  private long lastEnd;
  private long seq;

  /** How far its machine's time of day is ahead, in milliseconds; its steady clock is not. */
  private volatile long timeOfDayAhead;

  /** A run of a task. */
  private record Run(String task, int attempt, int cpu, long startedAt, long endsAt) {}

  private record End(String task, int attempt, String how) {}

  Worker(World world, Store store, int number, int cpuMillis, long maxLeaseMillis)
      throws IOException {
    this.world = world;
    this.store = store;
    this.cpuMillis = cpuMillis;
    this.maxLeaseMillis = maxLeaseMillis;
    this.rack = "r1-" + (number / 4 + 1);
    this.id = String.format("i-%04x", 0x1000 + number);
    this.server = new StubServer(this::handle);
    begin();
    world.repeat(10, this::advance);
    world.repeat(1_000, this::report);
  }

  synchronized String id() {
    return id;
  }

  synchronized String label() {
    return id + " (boot " + boots + ")";
  }

  /** Returns whether a run of a task whose name begins so is at work. */
  synchronized boolean runs(String prefix) {
    return up && runs.keySet().stream().anyMatch(task -> task.startsWith(prefix));
  }

  /** Lets the time of day of its machine jump. */
  void setTimeOfDayAhead(long millis) {
    timeOfDayAhead = millis;
    world.log("the time of day at %s is %d ms ahead", label(), millis);
  }

  /** Crashes: all connections end, and with them everything that runs here. */
  void crash(long downMillis) {
    synchronized (this) {
      world.log("worker %s crashes with %s", label(), runs.keySet());
      up = false;
      runs.clear();
      ends.clear();
      notifyAll();
    }
    server.stop();
    world.schedule(downMillis, this::startAgain);
  }

  private void startAgain() {
    try {
      server.restart();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    begin();
  }

  private synchronized void begin() {
    boots++;
    up = true;
    bootAt = world.now();
    born = System.currentTimeMillis() + timeOfDayAhead;
    highestToken = 0;
    leaseUntil = 0;
    lastEnd = 0;
    seq = 0;
    highestAttempts.clear();
    world.log("worker %s is up at %s, born %d", label(), server.address(), born);
    report();
  }

  /** Writes its entry to the store. */
  private synchronized void report() {
    if (!up) {
      return;
    }
    ObjectNode entry = StubServer.object().put("service", "svc").put("address", server.address());
    entry.put("zone", "z1").put("version", "1").put("slots", 8).put("state", "ready");
    entry.put("cold_left_ms", 0).put("seq", ++seq).put("born", born);
    entry.putObject("capacity").put("cpu", cpuMillis).put("mem_mb", 64_000).put("gpu", 0);
    entry.putArray("labels").add("a").add(rack);
    store.put("servers", id, entry);
  }

  private long clock() {
    return world.now() - bootAt;
  }

  private synchronized void advance() {
    long now = world.now();
    if (!up) {
      return;
    }
    for (Run run : new ArrayList<>(runs.values())) {
      if (clock() >= leaseUntil) {
        end(run, "lapsed");
      } else if (now >= run.endsAt()) {
        end(run, highestAttempts.containsKey(run.task()) ? "stopped" : "done");
      }
    }
  }

  private void end(Run run, String how) {
    runs.remove(run.task());
    highestAttempts.merge(run.task(), run.attempt(), Math::max);
    ends.put(++lastEnd, new End(run.task(), run.attempt(), how));
    world.log("end %s attempt %d at %s: %s", run.task(), run.attempt(), label(), how);
    notifyAll();
  }

  private synchronized StubServer.Reply handle(StubServer.Call call) throws InterruptedException {
    if (!up) {
      return null;
    }
    if (!call.expectedInstance().isEmpty() && !call.expectedInstance().equals(id)) {
      return new StubServer.Reply(421, StubServer.object());
    }
    advance();
    long token = call.body().path("fencing_token").asLong();
    if (token < highestToken) {
      return refusal("fence");
    }
    highestToken = token;
    return switch (call.path()) {
      case "/v1/run-start" -> start(call.body());
      case "/v1/run-stop" -> stop(call.body());
      case "/v1/hold" -> hold(call.body());
      case "/v1/pace" -> new StubServer.Reply(200, head());
      default -> new StubServer.Reply(404, StubServer.object());
    };
  }

  private StubServer.Reply start(JsonNode body) {
    long until = body.path("deadline_ms").asLong();
    if (until <= clock()) {
      return refusal("late");
    }
    leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + maxLeaseMillis));
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    Run current = runs.get(task);
    if (current != null && current.attempt() == attempt) {
      return new StubServer.Reply(200, head());
    }
    if (current != null || attempt <= highestAttempts.getOrDefault(task, 0)) {
      return refusal("old");
    }
    int cpu = 1_000;
    if (runs.values().stream().mapToInt(Run::cpu).sum() + cpu > cpuMillis) {
      return refusal("room");
    }
    String duration = body.path("spec").asText().split(" ")[0];
    long now = world.now();
    long endsAt = duration.equals("lasts") ? Long.MAX_VALUE : now + Long.parseLong(duration);
    runs.put(task, new Run(task, attempt, cpu, now, endsAt));
    world.log("start %s attempt %d at %s", task, attempt, label());
    return new StubServer.Reply(200, head());
  }

  private StubServer.Reply stop(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    highestAttempts.merge(task, attempt, Math::max);
    Run run = runs.get(task);
    if (run != null && run.attempt() <= attempt) {
      long endsAt = Math.min(run.endsAt(), world.now() + STOP_MILLIS);
      runs.put(task, new Run(task, run.attempt(), run.cpu(), run.startedAt(), endsAt));
    }
    return new StubServer.Reply(200, head());
  }

  private StubServer.Reply hold(JsonNode body) throws InterruptedException {
    if (body.has("deadline_ms")) {
      long until = Math.min(body.path("deadline_ms").asLong(), clock() + maxLeaseMillis);
      leaseUntil = Math.max(leaseUntil, until);
    }
    ends.headMap(body.path("ack_cursor").asLong(), true).clear();
    int boot = boots;
    long end = world.now() + Math.min(MAX_WAIT_MILLIS, body.path("wait_ms").asLong());
    while (up && boot == boots && ends.isEmpty() && world.now() < end) {
      wait(Math.max(1, end - world.now()));
    }
    if (!up || boot != boots) {
      return null;
    }
    ObjectNode answer = head();
    ArrayNode running = answer.putArray("running");
    for (Run run : runs.values()) {
      boolean lasts = run.endsAt() == Long.MAX_VALUE;
      long age = world.now() - run.startedAt();
      long percent = lasts ? (age >= STARTUP_MILLIS ? 100 : 0) : percent(run);
      running.addArray().add(run.task()).add(run.attempt()).add("").add(percent).add(0);
    }
    ArrayNode listed = answer.putArray("ended");
    ends.entrySet().stream()
        .limit(MAX_ENDS)
        .forEach(
            entry ->
                listed
                    .addArray()
                    .add(entry.getKey())
                    .add(entry.getValue().task())
                    .add(entry.getValue().attempt())
                    .add(entry.getValue().how())
                    .add(""));
    return new StubServer.Reply(200, answer);
  }

  private long percent(Run run) {
    long all = Math.max(1, run.endsAt() - run.startedAt());
    return Math.min(99, (world.now() - run.startedAt()) * 100 / all);
  }

  private ObjectNode head() {
    return StubServer.object().put("clock_ms", clock()).put("born", born);
  }

  private StubServer.Reply refusal(String reason) {
    return new StubServer.Reply(409, head().put("reason", reason));
  }
}
