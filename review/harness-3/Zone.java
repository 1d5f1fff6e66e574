import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/** A small deployment: store, workers and entry instances, which are real processes. */
final class Zone implements AutoCloseable {
  static final String HOST = "127.0.0.1";
  static final String PREFIX = "/lohu930/";

  final Log log;
  final Store store;
  final Jobs jobs;
  final List<Worker> workers = new ArrayList<>();
  final List<Entry> entries = new ArrayList<>();
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  final Random random = new Random(7);
  private final Path root;
  private final Path temporary;
  private int turn;

  /** An entry instance. */
  final class Entry {
    final String name;
    final int port = freePort();
    final int readiness = freePort();
    final int metrics = freePort();
    Process process;
    volatile boolean ready;

    /** Number of times that the process ended by itself. */
    volatile int ownEnds;

    /** Time at which the process was killed or started last. */
    volatile long disturbedAt;

    private volatile boolean expected;

    Entry(String name) throws IOException {
      this.name = name;
    }

    /** Kills the process; it is started again about a second later. */
    void kill() {
      expected = true;
      disturbedAt = log.now();
      process.destroyForcibly();
      log.say("instance " + name + " is killed");
    }

    void start() throws IOException {
      expected = false;
      disturbedAt = log.now();
      Path settings = temporary.resolve(name + ".toml");
      Files.writeString(
          settings,
          String.join(
              "\n",
              "[instance]",
              "name = \"" + name + "\"",
              "zone = \"zone-a\"",
              "processor-share = \"0.75\"",
              "processor-speed = \"1\"",
              "link-mbits = \"1000\"",
              "[listen]",
              "callers = \"" + HOST + ":" + port + "\"",
              "readiness = \"" + HOST + ":" + readiness + "\"",
              "metrics = \"" + HOST + ":" + metrics + "\"",
              "[cell]",
              "table-service = \"" + store.web.address() + "\"",
              "worker-lease = \"6000 ms\"",
              "worker-stop = \"400 ms\"",
              "status-keep = \"120 s\"",
              "stop-grace = \"6 s\"",
              ""));
      List<String> command = new ArrayList<>();
      for (String word : runCommand()) {
        command.add(word.equals("/etc/hemlockpick/boot.yaml") ? settings.toString() : word);
      }
      ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
      process = builder.start();
      log.add("instance " + name + " started, process " + process.pid());
      process
          .onExit()
          .thenAccept(
              ended -> {
                ready = false;
                if (!expected) {
                  ownEnds++;
                  log.say("instance " + name + " ended by itself, status " + ended.exitValue());
                }
              });
    }
  }

  Zone(Path root, Path record) throws IOException {
    this.root = root;
    this.log = new Log(record);
    this.temporary = Files.createTempDirectory("hemlockpick-review-3");
    this.jobs = new Jobs(log);
    this.store = new Store(log);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private List<String> runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("no run command");
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  void writeManifest(boolean guards, int maxAttempts) {
    ObjectNode manifest = Json.object().put("version", 1);
    ObjectNode route = manifest.putArray("routes").addObject();
    route.put("name", "q1").put("host", HOST).put("path_prefix", PREFIX).put("service", Jobs.SERVICE);
    route.put("max_attempts", maxAttempts).put("priority", 0).put("slack_factor", 1.5);
    route.put("target_latency_ms", 400);
    manifest.putArray("services").addObject().put("name", Jobs.SERVICE).put("enforce_capacity", guards);
    manifest.putObject("limits").put("max_body_bytes", 262_144);
    store.put("op", "config", manifest);
  }

  void addWorkers(int count, long cpu, boolean guards, String label) throws IOException {
    for (int i = 0; i < count; i++) {
      Worker worker =
          new Worker(jobs, log, "i-%010x".formatted(random.nextLong() & 0xffffffffffL), label, cpu, guards);
      workers.add(worker);
      store.put("servers", worker.id, worker.entry());
    }
  }

  void start(int instances) throws Exception {
    timer.scheduleWithFixedDelay(
        () -> {
          synchronized (jobs) {
            workers.forEach(worker -> { if (worker.up) worker.advance(); });
          }
        },
        10, 10, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        () -> workers.forEach(worker -> { if (worker.up) store.put("servers", worker.id, worker.entry()); }),
        1_100, 1_100, TimeUnit.MILLISECONDS);
    for (int i = 0; i < instances; i++) {
      Entry entry = new Entry("edge-" + (i + 1));
      entries.add(entry);
      entry.start();
    }
    timer.scheduleWithFixedDelay(this::look, 500, 1_000, TimeUnit.MILLISECONDS);
    long until = log.now() + 30_000;
    while (log.now() < until && !entries.stream().allMatch(entry -> entry.ready)) {
      Thread.sleep(100);
    }
    if (!entries.stream().allMatch(entry -> entry.ready)) {
      throw new IOException("the instances do not get ready");
    }
    log.say("all instances are ready");
  }

  /** Restarts what has ended, and asks all instances whether they are ready. */
  private void look() {
    for (Entry entry : entries) {
      try {
        if (!entry.process.isAlive()) {
          entry.ready = false;
          entry.start();
          continue;
        }
        HttpRequest ask =
            HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + entry.readiness + "/v1/readyz"))
                .timeout(Duration.ofMillis(900)).build();
        client.sendAsync(ask, HttpResponse.BodyHandlers.discarding())
            .whenComplete((answer, failure) -> {
              boolean ready = failure == null && answer.statusCode() == 200;
              if (ready != entry.ready) {
                log.add("instance " + entry.name + (ready ? " is ready" : " is not ready"));
              }
              entry.ready = ready;
            });
      } catch (IOException e) {
        log.say("instance " + entry.name + ": " + e);
      }
    }
  }

  synchronized Entry pick() {
    for (int i = 0; i < entries.size(); i++) {
      Entry entry = entries.get(turn++ % entries.size());
      if (entry.ready) {
        return entry;
      }
    }
    return entries.get(turn++ % entries.size());
  }

  private HttpRequest.Builder request(Entry entry, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + entry.port + path))
        .header("Content-Type", "application/json").header("Deadline-Ms", "3000")
        .timeout(Duration.ofMillis(3_000));
  }

  String newId() {
    return "%016x".formatted(random.nextLong());
  }

  /** Hands a submission in, with up to four retries where there was no answer. */
  void submit(Jobs.Job job) {
    timer.execute(() -> submit(job, 0));
  }

  private void submit(Jobs.Job job, int retry) {
    Entry entry = pick();
    HttpRequest post =
        request(entry, PREFIX + job.id).POST(HttpRequest.BodyPublishers.ofString(job.body)).build();
    client.sendAsync(post, HttpResponse.BodyHandlers.ofString())
        .whenComplete((answer, failure) -> {
          int status = failure == null ? answer.statusCode() : 0;
          job.answer = failure == null ? Integer.toString(status) : "no answer";
          log.add("submit " + job.id + " to " + entry.name + ": " + job.answer);
          if (status / 100 == 2) {
            job.acceptedAt = log.now();
            job.idleSince = log.now();
            job.accepted = true;
          } else if (status == 0 || status == 502 || status == 504 || status == 503 || status == 429) {
            if (retry < 4) {
              timer.schedule(() -> submit(job, retry + 1), 300, TimeUnit.MILLISECONDS);
            }
          }
        });
  }

  /** Asks an instance for the number of waiting submissions; the handler gets -1 without an answer. */
  void waiting(Entry entry, LongConsumer handler) {
    client
        .sendAsync(request(entry, PREFIX).GET().build(), HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (answer, failure) -> {
              boolean isOk = failure == null && answer.statusCode() == 200;
              handler.accept(isOk ? Json.parse(answer.body().getBytes()).path("pending").asLong(-1) : -1);
            });
  }

  /** Asks three instances in turn for the state of a submission; "none" without an answer. */
  String state(Jobs.Job job) {
    String state = "none";
    for (int i = 0; i < 3 && (state.equals("none") || state.startsWith("50")); i++) {
      Entry entry = pick();
      try {
        HttpResponse<String> answer =
            client.send(
                request(entry, PREFIX + job.id).GET().build(), HttpResponse.BodyHandlers.ofString());
        state =
            answer.statusCode() == 200
                ? Json.parse(answer.body().getBytes()).path("state").asText()
                : Integer.toString(answer.statusCode());
      } catch (IOException e) {
        log.add("state " + job.id + " from " + entry.name + ": " + e.getMessage());
        continue;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      log.add("state " + job.id + " from " + entry.name + ": " + state);
    }
    return state;
  }

  long freeCpu() {
    long free = 0;
    for (Worker worker : workers) {
      free += worker.up ? Math.max(0, worker.cpu - worker.usedCpu()) : 0;
    }
    return free;
  }

  long allCpu() {
    return workers.stream().mapToLong(worker -> worker.up ? worker.cpu : 0).sum();
  }

  private void killAll() {
    for (Entry entry : entries) {
      entry.expected = true;
      if (entry.process != null) {
        entry.process.destroyForcibly();
      }
    }
    removeTemporaryFiles();
  }

  /** Removes the settings and logs of the instances, unless KEEP_LOGS is set. */
  private void removeTemporaryFiles() {
    if (System.getenv("KEEP_LOGS") != null) {
      return;
    }
    File[] files = temporary.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      boolean unused = file.delete();
    }
    boolean unused = temporary.toFile().delete();
  }

  @Override
  public void close() throws IOException {
    timer.shutdownNow();
    killAll();
    log.close();
  }
}
