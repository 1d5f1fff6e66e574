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

/** A worker as PROTOCOL.md describes it. All workers share the lock of the jobs. */
final class Worker {
  static final long MAX_LEASE_MILLIS = 6_000;
  private static final int STOP_MILLIS = 100;
  private static final int MAX_ENDS = 500;

  /** A run; a task that lasts has no end of its own. */
  static final class Run {
    final String task;
    final int attempt;
    final Jobs.Step step;
    final long startedAt;
    long endsAt;
    boolean stopping;

    Run(String task, int attempt, Jobs.Step step, long now) {
      this.task = task;
      this.attempt = attempt;
      this.step = step;
      this.startedAt = now;
      // Long tasks differ by up to a half of their work.
      long spread = step.workMillis() < 10_000 ? 0 : Math.floorMod(task.hashCode(), step.workMillis() / 2);
      this.endsAt = step.lasting() ? Long.MAX_VALUE : now + step.workMillis() + spread;
    }
  }

  record End(String task, int attempt, String how) {}

  final String id;
  final String label;
  final long cpu;
  final long memory = 128_000;
  final boolean guards;
  final Map<String, Run> runs = new LinkedHashMap<>();
  private final Jobs jobs;
  private final Log log;
  private final Web web;
  private final Map<String, Integer> highest = new HashMap<>();
  private final NavigableMap<Long, End> ends = new TreeMap<>();
  boolean up = true;
  private long bornWall;
  private long bootAt;
  private long token;
  private long leaseUntil;
  private long lastEnd;
  private int seq;
  private int boot;

  Worker(Jobs jobs, Log log, String id, String label, long cpu, boolean guards)
      throws IOException {
    this.jobs = jobs;
    this.log = log;
    this.id = id;
    this.label = label;
    this.cpu = cpu;
    this.guards = guards;
    this.web = new Web(this::handle);
    boot();
  }

  private void boot() {
    boot++;
    up = true;
    bornWall = System.currentTimeMillis();
    bootAt = log.now();
    token = 0;
    leaseUntil = 0;
    lastEnd = 0;
    seq = 0;
    highest.clear();
    ends.clear();
  }

  /** Ends its process: all runs end with it, and its port is closed. */
  void crash() {
    synchronized (jobs) {
      advance();
      for (Run run : new ArrayList<>(runs.values())) {
        runs.remove(run.task);
        jobs.onEnd(this, run, "crashed");
      }
      up = false;
      jobs.notifyAll();
    }
    web.close();
    log.add("worker " + id + " crashed");
  }

  /** Starts its process again under the same identifier. */
  void restart() throws IOException {
    synchronized (jobs) {
      boot();
    }
    web.open();
    log.add("worker " + id + " started again");
  }

  ObjectNode entry() {
    synchronized (jobs) {
      ObjectNode entry = Json.object().put("service", Jobs.SERVICE).put("address", web.address());
      entry.put("zone", "zone-a").put("version", "1").put("slots", 8).put("state", "ready");
      entry.put("cold_left_ms", 0).put("seq", ++seq).put("born", bornWall);
      entry.putObject("capacity").put("cpu", cpu).put("mem_mb", memory).put("gpu", 0);
      entry.putArray("labels").add(label).add("r1-1");
      return entry;
    }
  }

  String address() {
    return web.address();
  }

  long usedCpu() {
    long used = 0;
    for (Run run : runs.values()) {
      used += run.step.cpu();
    }
    return used;
  }

  long usedMemory() {
    long used = 0;
    for (Run run : runs.values()) {
      used += run.step.memory();
    }
    return used;
  }

  private long clock() {
    return log.now() - bootAt + 1;
  }

  /** Ends the runs that are due; called with the lock. */
  void advance() {
    long now = log.now();
    for (Run run : new ArrayList<>(runs.values())) {
      long lapse = bootAt + leaseUntil;
      if (Math.min(run.endsAt, lapse) > now) {
        continue;
      }
      String how = lapse <= run.endsAt ? "lapsed" : run.stopping ? "stopped" : "done";
      runs.remove(run.task);
      highest.merge(run.task, run.attempt, Math::max);
      ends.put(++lastEnd, new End(run.task, run.attempt, how));
      jobs.onEnd(this, run, how);
      jobs.notifyAll();
    }
  }

  private Web.Reply handle(Web.Call call) throws InterruptedException {
    synchronized (jobs) {
      if (!up) {
        return new Web.Reply(0, null);
      }
      if (!call.instance().isEmpty() && !call.instance().equals(id)) {
        return new Web.Reply(421, Json.object());
      }
      advance();
      JsonNode body = call.body();
      long given = body.path("fencing_token").asLong();
      if (given < token) {
        return refusal("fence");
      }
      token = given;
      return switch (call.path()) {
        case "/v1/run-start" -> start(body);
        case "/v1/run-stop" -> stop(body);
        case "/v1/pace" -> new Web.Reply(200, head());
        case "/v1/hold" -> hold(body);
        default -> new Web.Reply(404, Json.object());
      };
    }
  }

  private Web.Reply start(JsonNode body) {
    long until = body.path("deadline_ms").asLong();
    if (until <= clock()) {
      return refusal("late");
    }
    leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + MAX_LEASE_MILLIS));
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    Run current = runs.get(task);
    if (current != null && current.attempt == attempt) {
      return new Web.Reply(200, head());
    }
    if (current != null || attempt <= highest.getOrDefault(task, 0)) {
      return refusal("old");
    }
    Jobs.Step step = jobs.step(task);
    if (step == null) {
      return new Web.Reply(400, head());
    }
    boolean fits = usedCpu() + step.cpu() <= cpu && usedMemory() + step.memory() <= memory;
    if (guards && !fits) {
      return refusal("room");
    }
    Run run = new Run(task, attempt, step, log.now());
    runs.put(task, run);
    jobs.onStart(this, run);
    return new Web.Reply(200, head());
  }

  private Web.Reply stop(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    highest.merge(task, attempt, Math::max);
    Run run = runs.get(task);
    if (run != null && run.attempt <= attempt && !run.stopping) {
      run.stopping = true;
      run.endsAt = Math.min(run.endsAt, log.now() + STOP_MILLIS);
    }
    return new Web.Reply(200, head());
  }

  private Web.Reply hold(JsonNode body) throws InterruptedException {
    if (body.has("deadline_ms")) {
      long until = body.path("deadline_ms").asLong();
      leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + MAX_LEASE_MILLIS));
    }
    ends.headMap(body.path("ack_cursor").asLong(), true).clear();
    int intended = boot;
    long until = log.now() + Math.min(2_000, body.path("wait_ms").asLong());
    while (ends.isEmpty() && log.now() < until && up && boot == intended) {
      jobs.wait(Math.max(1, until - log.now()));
      advance();
    }
    if (!up || boot != intended) {
      return new Web.Reply(0, null);
    }
    ObjectNode answer = head();
    ArrayNode running = answer.putArray("running");
    for (Run run : runs.values()) {
      ArrayNode row = running.addArray().add(run.task).add(run.attempt).add(saved(run));
      row.add(percent(run)).add(run.step.lasting() ? 0 : run.step.cpu());
    }
    ArrayNode ended = answer.putArray("ended");
    int count = 0;
    for (Map.Entry<Long, End> entry : ends.entrySet()) {
      if (++count > MAX_ENDS) {
        break;
      }
      End end = entry.getValue();
      ArrayNode row = ended.addArray().add(entry.getKey()).add(end.task()).add(end.attempt());
      row.add(end.how()).add("");
    }
    return new Web.Reply(200, answer);
  }

  /** Returns the checkpoint of a run, which is a new one with each 2 s of work. */
  private String saved(Run run) {
    long saves = (log.now() - run.startedAt) / 2_000;
    boolean isSaved = run.step.checkpointing() && saves > 0;
    return isSaved ? "%08x%08x".formatted(saves, run.task.hashCode()) : "";
  }

  private int percent(Run run) {
    if (run.step.lasting()) {
      return log.now() - run.startedAt > 300 ? 100 : 0;
    }
    return (int) Math.min(99, 100 * (log.now() - run.startedAt) / Math.max(1, run.step.workMillis()));
  }

  private ObjectNode head() {
    return Json.object().put("clock_ms", clock()).put("born", bornWall);
  }

  private Web.Reply refusal(String reason) {
    return new Web.Reply(409, head().put("reason", reason));
  }
}
