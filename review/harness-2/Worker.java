import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A worker of the platform, as the pages describe it. One that is down refuses connections. */
final class Worker {
  private static final long BEAT_MILLIS = 1_100;
  private static final long LONGEST_LEASE_MILLIS = 6_000;
  private static final long STOP_MILLIS = 50;
  private static final int MAX_ENDS = 500;

  private final World world;
  private final Store store;
  private final Fleet fleet;
  private final String id;
  private final String label;
  private final long cpu;
  private final int port;
  private final String address;
  private HttpServer server;
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private final TreeMap<Long, Object[]> ends = new TreeMap<>();
  private boolean up = true;
  private long bootAt;
  private long born;
  private long token;
  private long leaseUntil;
  private long lastEnd;
  private long seq;
  private long nextBeatAt;

  private static final class Run {
    String task;
    int attempt;
    long startedAt;
    long workMillis;
    long cpu;
    long stopAt = Long.MAX_VALUE;
  }

  Worker(World world, Store store, Fleet fleet, String id, String label, long cpu)
      throws IOException {
    this.world = world;
    this.store = store;
    this.fleet = fleet;
    this.id = id;
    this.label = label;
    this.cpu = cpu;
    this.server = world.serve(this::handle, 0);
    this.port = server.getAddress().getPort();
    this.address = "127.0.0.1:" + port;
    reset();
  }

  String id() {
    return id;
  }

  synchronized boolean isUp() {
    return up;
  }

  /** Starts a new boot, which holds and knows nothing of before. */
  synchronized void boot() throws IOException {
    server = world.serve(this::handle, port);
    reset();
  }

  private synchronized void reset() {
    up = true;
    bootAt = world.now();
    born = System.currentTimeMillis();
    token = 0;
    leaseUntil = 0;
    lastEnd = 0;
    seq = 0;
    nextBeatAt = 0;
    highest.clear();
    ends.clear();
    notifyAll();
  }

  /** Crashes: all runs are lost, and nothing is sent any more. */
  synchronized void crash() {
    up = false;
    world.log("worker " + id + " crashes with " + runs.keySet());
    for (Run run : runs.values()) {
      fleet.onEnd(id, run.task, run.attempt, "crashed");
    }
    runs.clear();
    notifyAll();
    server.stop(0);
  }

  private long clock() {
    return world.now() - bootAt;
  }

  /** Ends the runs that are due; called every few milliseconds. */
  synchronized void advance() {
    long now = world.now();
    if (!up) {
      return;
    }
    boolean lapsed = clock() >= leaseUntil;
    for (Run run : new ArrayList<>(runs.values())) {
      boolean done = run.workMillis > 0 && now >= run.startedAt + run.workMillis;
      if (done) {
        end(run, "done");
      } else if (now >= run.stopAt) {
        end(run, "stopped");
      } else if (lapsed) {
        end(run, "lapsed");
      }
    }
    if (now >= nextBeatAt) {
      nextBeatAt = now + BEAT_MILLIS;
      beat();
    }
  }

  private void end(Run run, String how) {
    runs.remove(run.task);
    highest.merge(run.task, run.attempt, Math::max);
    ends.put(++lastEnd, new Object[] {run.task, run.attempt, how});
    fleet.onEnd(id, run.task, run.attempt, how);
    notifyAll();
  }

  private void beat() {
    ObjectNode entry = World.JSON.createObjectNode();
    entry.put("service", Fleet.SERVICE).put("address", address).put("zone", "zone-a");
    entry.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_left_ms", 0);
    entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 128_000).put("gpu", 0);
    entry.putArray("labels").add(label).add("r1-1");
    entry.put("clock_ms", clock()).put("seq", ++seq).put("born", born);
    store.put("servers", id, entry.toString().getBytes(StandardCharsets.UTF_8));
  }

  private World.Reply handle(HttpExchange call, byte[] bytes) throws Exception {
    JsonNode body = bytes.length == 0 ? World.JSON.createObjectNode() : World.JSON.readTree(bytes);
    String expected = call.getRequestHeaders().getFirst("Expected-Instance");
    String path = call.getRequestURI().getPath();
    synchronized (this) {
      if (!up) {
        return new World.Reply(-1, "");
      }
      if (path.equals("/healthz")) {
        return new World.Reply(200, "{}");
      }
      if (expected != null && !expected.equals(id)) {
        return new World.Reply(421, answer().toString());
      }
      long given = body.path("fencing_token").asLong();
      if (given < token) {
        return refuse("fence");
      }
      token = given;
      return switch (path) {
        case "/v1/run-start" -> start(body);
        case "/v1/run-stop" -> stop(body);
        case "/v1/hold" -> hold(body);
        case "/v1/pace" -> new World.Reply(200, answer().toString());
        default -> new World.Reply(400, answer().toString());
      };
    }
  }

  private ObjectNode answer() {
    return World.JSON.createObjectNode().put("clock_ms", clock()).put("born", born);
  }

  private World.Reply refuse(String reason) {
    return new World.Reply(409, answer().put("reason", reason).toString());
  }

  private void extend(JsonNode body) {
    long until = Math.min(body.path("deadline_ms").asLong(), clock() + LONGEST_LEASE_MILLIS);
    leaseUntil = Math.max(leaseUntil, until);
  }

  private World.Reply start(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    if (body.path("deadline_ms").asLong() <= clock()) {
      return refuse("late");
    }
    Run there = runs.get(task);
    if (there != null && there.attempt == attempt) {
      extend(body);
      return new World.Reply(200, answer().toString());
    }
    if (there != null || attempt <= highest.getOrDefault(task, 0)) {
      extend(body);
      return refuse("old");
    }
    Fleet.Phase phase = fleet.phase(task);
    long used = runs.values().stream().mapToLong(run -> run.cpu).sum();
    if (phase == null) {
      fleet.onUnasked(id, task);
      return new World.Reply(400, answer().toString());
    }
    if (used + phase.cpu() > cpu) {
      extend(body);
      return refuse("room");
    }
    Run run = new Run();
    run.task = task;
    run.attempt = attempt;
    run.startedAt = world.now();
    run.workMillis = phase.workMillis();
    run.cpu = phase.cpu();
    runs.put(task, run);
    extend(body);
    fleet.onStart(id, task, attempt);
    return new World.Reply(200, answer().toString());
  }

  private World.Reply stop(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    highest.merge(task, attempt, Math::max);
    Run run = runs.get(task);
    if (run != null && run.attempt == attempt) {
      run.stopAt = Math.min(run.stopAt, world.now() + STOP_MILLIS);
    }
    return new World.Reply(200, answer().toString());
  }

  private World.Reply hold(JsonNode body) throws InterruptedException {
    if (body.has("deadline_ms")) {
      extend(body);
    }
    long acknowledged = body.path("ack_cursor").asLong();
    ends.headMap(acknowledged, true).clear();
    long until = world.now() + Math.min(2_000, body.path("wait_ms").asLong());
    long boot = born;
    while (ends.isEmpty() && up && boot == born && world.now() < until) {
      wait(Math.max(1, until - world.now()));
    }
    if (!up || boot != born) {
      return new World.Reply(-1, "");
    }
    ObjectNode reply = answer();
    ArrayNode running = reply.putArray("running");
    for (Run run : runs.values()) {
      long percent =
          run.workMillis == 0
              ? 100
              : Math.min(99, (world.now() - run.startedAt) * 100 / run.workMillis);
      running.addArray().add(run.task).add(run.attempt).add("").add(percent).add(run.cpu);
    }
    ArrayNode ended = reply.putArray("ended");
    for (Map.Entry<Long, Object[]> end : ends.entrySet()) {
      if (ended.size() == MAX_ENDS) {
        break;
      }
      Object[] row = end.getValue();
      ended.addArray().add(end.getKey()).add((String) row[0]).add((Integer) row[1])
          .add((String) row[2]).add("");
    }
    return new World.Reply(200, reply.toString());
  }

  /** Returns what the runs here take, in thousandths of a core. */
  synchronized long used() {
    return runs.values().stream().mapToLong(run -> run.cpu).sum();
  }

  /** Returns the number of ends that are listed, as nobody has taken note of them. */
  synchronized int listedEnds() {
    return ends.size();
  }

  /** Returns the tasks that run here. */
  synchronized List<String> running() {
    return List.copyOf(runs.keySet());
  }
}
