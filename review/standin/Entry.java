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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry instance of the project: the command and the settings of the deploy folder. */
final class Entry {
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1_000))
          .build();

  private final World world;
  private final Path folder;
  private final Map<String, String> fields = new LinkedHashMap<>();
  private final String name;
  private final int callers;
  private final int readiness;
  private Process process;

  /** An answer to a caller; the status is 0 without one. */
  record Answer(int status, String body) {}

  Entry(World world, Path folder, int number, String store, long maxLeaseMillis)
      throws IOException {
    this.world = world;
    this.folder = folder;
    this.name = "edge-" + number;
    this.callers = freePort();
    this.readiness = freePort();
    fields.put("node_name", name);
    fields.put("zone", "z1");
    fields.put("ip", "127.0.0.1");
    fields.put("limits.cpu_share", "0.75");
    fields.put("limits.cores", "1");
    fields.put("limits.link_mbps", "1000.0");
    fields.put("listen.frontend", "127.0.0.1:" + callers);
    fields.put("listen.readiness", "127.0.0.1:" + readiness);
    fields.put("platform.address", store);
    fields.put("bounds.hold_max_ms", Long.toString(maxLeaseMillis));
    fields.put("bounds.stop_ms", "400");
    fields.put("bounds.status_s", "120");
    fields.put("bounds.grace_s", "6");
    fields.put("metrics", Integer.toString(freePort()));
  }

  String name() {
    return name;
  }

  /** Starts the process with the command of the deploy file. */
  void start() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no command in the deploy file");
    }
    Path settings = folder.resolve(name + ".toml");
    Files.writeString(settings, rendered(Files.readString(Path.of("deploy/settings.toml"))));
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" +")));
    command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.set(command.size() - 1, settings.toString());
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
            .start();
    world.log("entry instance %s starts", name);
  }

  private String rendered(String template) throws IOException {
    // The metrics port of the deploy file is the same on all machines; here they share one address.
    String text = template.replace("{{ip}}:9464", "{{ip}}:{{metrics}}");
    // Keeps the sections of given values only.
    for (String field : fields.keySet()) {
      text = text.replace("{{#" + field + "}}", "").replace("{{/" + field + "}}", "");
    }
    text = text.replaceAll("(?s)\\{\\{#.*?\\{\\{/.*?}}", "");
    Matcher matcher = Pattern.compile("\\{\\{([a-z_.]+)}}").matcher(text);
    StringBuilder result = new StringBuilder();
    while (matcher.find()) {
      String value = fields.get(matcher.group(1));
      if (value == null) {
        throw new IOException("no value for " + matcher.group(1));
      }
      matcher.appendReplacement(result, Matcher.quoteReplacement(value));
    }
    return matcher.appendTail(result).toString();
  }

  boolean isReady() {
    return send("GET", readiness, "/v1/readyz", "").status() == 200;
  }

  void end() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Sends a call of a caller. */
  Answer call(String method, String path, String body) {
    Answer answer = send(method, callers, path, body);
    String sent = body.isEmpty() ? "" : " " + body;
    world.log("%s %s%s to %s -> %d %s", method, path, sent, name, answer.status(), answer.body());
    return answer;
  }

  private static Answer send(String method, int port, String path, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(3_000))
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (!path.equals("/v1/readyz")) {
      request.header("Deadline-Ms", "3000");
    }
    try {
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, e.toString());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
