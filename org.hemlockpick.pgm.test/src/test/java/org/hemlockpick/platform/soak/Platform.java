package org.hemlockpick.platform.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hemlockpick.platform.soak.StubHttpServer.Call;
import org.hemlockpick.platform.soak.StubHttpServer.Reply;

/** Simulates the users' platform: the table service, the list of workers and the workers. */
public final class Platform implements AutoCloseable {
  static final String SERVICE = "svc1";
  static final String HOST = "127.0.0.1";

  /** Unique to this test process, as another soak test may reuse the port of an ended process. */
  public static final String PREFIX = "/q" + ProcessHandle.current().pid() + "/";

  private static final int MAX_ATTEMPTS = 2;
  private static final int ENTRY_LEASE_MILLIS = 3_300;
  private static final int FRESH_LEASE_MILLIS = 2_500;
  private static final int HEARTBEAT_MILLIS = 1_000;
  private static final int TICK_MILLIS = 20;

  /** Shortest and longest time for which a worker is down that one of its tasks crashed. */
  private static final int MIN_CRASH_MILLIS = 3_000;

  private static final int MAX_CRASH_MILLIS = 3_500;

  private final World world;
  private final Rows rows;
  private final Faults faults;
  private final Oracle oracle;
  private final List<SimWorker> workers = new ArrayList<>();
  private final List<StubHttpServer> servers = new ArrayList<>();

  /** By worker index: whether its entry is left out of the list although the worker is up. */
  private final List<Boolean> hidden = new ArrayList<>();

  private String holder = "";
  private long leaseAt;
  private long storeSeenAt;
  private boolean entriesExpired;

  public Platform(World world) throws IOException {
    this(world, Day.MIXED);
  }

  Platform(World world, Day day) throws IOException {
    this.world = world;
    this.rows = new Rows(world);
    this.faults = new Faults(world);
    this.oracle = new Oracle(world, MAX_ATTEMPTS);
    synchronized (world) {
      rows.put("op", "config", manifest());
      for (int i = 0; i < day.workers(); i++) {
        String id = "i-%08x".formatted(0x1000 + i);
        SimWorker worker = new SimWorker(world, oracle, faults, this::advance, this::crash, id);
        workers.add(worker);
        rows.put("servers", worker.id(), worker.entry());
        hidden.add(false);
      }
    }
    world.scheduleRepeatedly(TICK_MILLIS, this::advance);
    world.scheduleRepeatedly(HEARTBEAT_MILLIS, this::heartbeat);
  }

  Faults faults() {
    return faults;
  }

  Oracle oracle() {
    return oracle;
  }

  List<SimWorker> workers() {
    return workers;
  }

  /** Returns the process that last wrote the lease; empty if none did. */
  String holder() {
    synchronized (world) {
      return holder;
    }
  }

  /** Returns whether the lease was written recently. */
  boolean isHeld() {
    synchronized (world) {
      return world.now() - leaseAt < FRESH_LEASE_MILLIS;
    }
  }

  /** Opens a port of the table service for one process and returns its address. */
  public String openStore(String process) throws IOException {
    StubHttpServer server = new StubHttpServer(call -> store(process, call));
    servers.add(server);
    return server.address();
  }

  /** Restarts a worker under the same identifier. */
  void restart(SimWorker worker, long downMillis) {
    synchronized (world) {
      worker.crash();
      world.schedule(
          downMillis,
          () -> {
            worker.boot();
            publish(worker);
          });
    }
  }

  /**
   * Crashes a worker, which comes back under another identifier at the same address. The entry of
   * the former boot expires.
   */
  private void crash(SimWorker worker) {
    String former = worker.id();
    world.log("crash of " + worker.label());
    worker.crashWithItsMachine();
    world.schedule(ENTRY_LEASE_MILLIS, () -> rows.drop("servers", former));
    world.schedule(
        world.between(MIN_CRASH_MILLIS, MAX_CRASH_MILLIS),
        () -> {
          worker.bootAs("i-%08x".formatted(world.between(0x10_0000, 0x3fff_ffff)));
          publish(worker);
        });
  }

  /** Removes the entry of a worker from the list while the worker keeps running. */
  void hide(SimWorker worker, long millis) {
    synchronized (world) {
      int index = workers.indexOf(worker);
      hidden.set(index, true);
      rows.drop("servers", worker.id());
      world.schedule(
          millis,
          () -> {
            hidden.set(index, false);
            publish(worker);
          });
    }
  }

  @Override
  public void close() {
    servers.forEach(StubHttpServer::close);
    workers.forEach(SimWorker::close);
  }

  private void advance() {
    workers.forEach(SimWorker::advance);
  }

  private void publish(SimWorker worker) {
    if (worker.isUp() && !faults.isStoreOutage() && !hidden.get(workers.indexOf(worker))) {
      rows.put("servers", worker.id(), worker.entry());
    }
  }

  private void heartbeat() {
    long now = world.now();
    if (!faults.isStoreOutage()) {
      storeSeenAt = now;
      if (entriesExpired) {
        entriesExpired = false;
        workers.forEach(worker -> world.schedule(world.between(0, 2_000), () -> publish(worker)));
      } else {
        workers.forEach(this::publish);
      }
    } else if (now - storeSeenAt >= ENTRY_LEASE_MILLIS && !entriesExpired) {
      entriesExpired = true;
      world.log("the entries of the workers expire");
      workers.forEach(worker -> rows.drop("servers", worker.id()));
    }
  }

  private Reply store(String process, Call call) throws InterruptedException {
    Thread.sleep(2);
    boolean write = call.path().equals("/v1/rows-tx");
    synchronized (world) {
      Faults.CallOutcome outcome = faults.decideStoreCall(process, write);
      if (outcome.delayMillis() > 0) {
        world.schedule(outcome.delayMillis(), () -> writeLate(process, call.body()));
      }
      if (!outcome.executed()) {
        return Reply.none(outcome.silentMillis());
      }
      Reply reply =
          switch (call.path()) {
            case "/v1/rows-tx" -> transact(process, call.body());
            case "/v1/rows-get" -> rows.get(call);
            case "/v1/rows-feed" -> rows.feed(call);
            default -> Reply.of(404, StubHttpServer.newObject());
          };
      boolean lost = !write && faults.isStoreOutage();
      return outcome.answered() && !lost ? reply : Reply.none(outcome.silentMillis());
    }
  }

  private void writeLate(String process, JsonNode body) {
    Reply reply = transact(process, body);
    world.log("a delayed write of " + process + " is executed: " + reply.status());
  }

  private Reply transact(String process, JsonNode body) {
    Optional<String> tooLarge = Rows.tooLarge(body);
    if (tooLarge.isPresent()) {
      oracle.onRowRefused(tooLarge.get());
      return Reply.of(400, StubHttpServer.newObject());
    }
    Reply reply = rows.transact(body);
    if (reply.status() == 200 && writesLease(body)) {
      long version = reply.body().path("schema_version").asLong();
      oracle.onLease(version, process);
      faults.onLease(version, process);
      if (!holder.equals(process)) {
        world.log("the lease is written by " + process + ", version " + version);
      }
      holder = process;
      leaseAt = world.now();
    }
    return reply;
  }

  private static boolean writesLease(JsonNode body) {
    for (JsonNode write : body.path("write")) {
      String key = write.path("key").asText();
      if (write.path("table").asText().equals("cells") && !key.contains("/")) {
        return true;
      }
    }
    return false;
  }

  private static ObjectNode manifest() {
    ObjectNode manifest = StubHttpServer.newObject().put("version", 1);
    ObjectNode route = manifest.putArray("routes").addObject();
    route.put("name", "q1").put("host", HOST).put("path_prefix", PREFIX).put("service", SERVICE);
    route.put("max_attempts", MAX_ATTEMPTS).put("priority", 1).put("slack_factor", 1.5);
    route.put("target_latency_ms", 400);
    manifest.putArray("services").addObject().put("name", SERVICE).put("enforce_capacity", true);
    manifest.putObject("limits").put("max_body_bytes", 262_144);
    return manifest;
  }
}
