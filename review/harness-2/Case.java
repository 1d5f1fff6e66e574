import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Plays a case: the platform's stand-ins and three entry instances. */
abstract class Case {
  static final String HOST = "calls.example";
  static final String QUICK = "/topup/";
  static final String BATCH = "/statement/";

  /** Whether the disruption comes. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  World world;
  Store store;
  Fleet fleet;
  Nodes nodes;

  /** The exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
  enum Verdict {
    HELD,
    BROKEN,
    NOT_RUN
  }

  abstract void addWorkers() throws Exception;

  abstract Verdict play() throws Exception;

  /** Runs a case and exits with its verdict; one that fails could not run. */
  static void run(Case played, String[] arguments) {
    Verdict verdict = Verdict.NOT_RUN;
    try {
      verdict = playAll(played, arguments);
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.out.println(verdict);
    System.exit(verdict.ordinal());
  }

  private static Verdict playAll(Case played, String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("review-2-");
    Verdict verdict = Verdict.NOT_RUN;
    try (World world = new World(Path.of(arguments[0]))) {
      played.world = world;
      world.log("disruption: " + (played.trouble ? "yes" : "no"));
      played.store = new Store(world);
      played.store.put("op", "config", played.manifest().getBytes(StandardCharsets.UTF_8));
      played.fleet = new Fleet(world, played.store);
      played.addWorkers();
      try (Nodes nodes = new Nodes(world, played.store.address(), folder)) {
        played.nodes = nodes;
        Runtime.getRuntime().addShutdownHook(new Thread(nodes::close));
        if (nodes.start(3)) {
          // The entry instances find the workers.
          World.sleep(4_000);
          verdict = played.play();
        }
        world.log("verdict: " + verdict);
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
          for (Nodes.Node node : nodes.all()) {
            Files.writeString(Path.of(keep, node.name + ".log"), node.log());
          }
        }
      }
    } finally {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    }
    return verdict;
  }

  String manifest() {
    return "{\"version\":1,\"routes\":["
        + route("quick", QUICK, 400, 0)
        + ","
        + route("batch", BATCH, 1000, 2)
        + "],\"services\":[{\"name\":\"litepay\",\"health_path\":\"/healthz\",\"max_conns\":64,"
        + "\"protocol\":\"h1\",\"tls\":false,\"enforce_capacity\":true,\"standby\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static String route(String name, String prefix, int target, int priority) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":" + target
        + ",\"priority\":" + priority + ",\"service\":\"" + Fleet.SERVICE
        + "\",\"max_attempts\":3,\"slack_factor\":1.5}";
  }

  /** Hands a job in at an entry instance; what is not accepted is recorded too. */
  Client.Answer submit(Nodes.Node node, String path, String job, String body, int waitMillis)
      throws Exception {
    JsonNode parsed = World.JSON.readTree(body);
    fleet.submit(job, parsed);
    Client.Answer answer =
        Client.call("127.0.0.1", node.callers, "POST", path + job, HOST, body, waitMillis);
    world.log("POST " + path + job + " at " + node.name + " -> " + text(answer));
    return answer;
  }

  Client.Answer get(Nodes.Node node, String path, String job) {
    Client.Answer answer =
        Client.call("127.0.0.1", node.callers, "GET", path + job, HOST, "", 3_000);
    world.log("GET " + path + job + " at " + node.name + " -> " + text(answer));
    return answer;
  }

  Client.Answer cancel(Nodes.Node node, String path, String job) {
    Client.Answer answer =
        Client.call("127.0.0.1", node.callers, "DELETE", path + job, HOST, "", 3_000);
    world.log("DELETE " + path + job + " at " + node.name + " -> " + text(answer));
    return answer;
  }

  static String text(Client.Answer answer) {
    return answer.status() == 0 ? "no answer" : answer.status() + " " + answer.body();
  }
}
