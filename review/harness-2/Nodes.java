import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The entry instances: real processes with the command and the settings of the deploy file. */
final class Nodes implements AutoCloseable {
  private final World world;
  private final String store;
  private final Path folder;
  private final List<Node> nodes = new ArrayList<>();

  /** An entry instance. */
  final class Node {
    final String name;
    final int callers;
    final int readiness;
    final Path settings;
    Process process;

    Node(String name) throws IOException {
      this.name = name;
      this.callers = World.freePort();
      this.readiness = World.freePort();
      this.settings = folder.resolve(name + ".toml");
      Files.writeString(settings, render(name, callers, readiness, World.freePort()));
    }

    void start() throws IOException {
      List<String> words = new ArrayList<>(List.of(runCommand().split(" ")));
      words.replaceAll(word -> word.equals("/etc/hemlockpick/boot.yaml") ? settings + "" : word);
      ProcessBuilder builder = new ProcessBuilder(words);
      File log = folder.resolve(name + ".log").toFile();
      builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      Map<String, String> variables = builder.environment();
      variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      variables.put("HEMLOCKPICK_CONFIG", settings.toString());
      process = builder.start();
      world.log("process " + name + " starts, callers at port " + callers);
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
      world.log("process " + name + " gets SIG" + signal);
      new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    }

    boolean isReady() {
      return Client.call("127.0.0.1", readiness, "GET", "/v1/readyz", "x", "", 500).status() == 200;
    }

    /** Returns the log. */
    String log() throws IOException {
      return Files.readString(folder.resolve(name + ".log"));
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }
  }

  Nodes(World world, String store, Path folder) {
    this.world = world;
    this.store = store;
    this.folder = folder;
  }

  /**
   * Starts entry instances and waits until all are ready; returns whether they are. Another process
   * may take a free port before they do: then they are started once more, at other ports.
   */
  boolean start(int count) throws IOException {
    if (tryStart(count)) {
      return true;
    }
    world.log("not all entry instances are ready, they are started once more");
    close();
    nodes.clear();
    return tryStart(count);
  }

  private boolean tryStart(int count) throws IOException {
    for (int i = 1; i <= count; i++) {
      Node node = new Node("edge-zone-a-" + i);
      nodes.add(node);
      node.start();
    }
    long until = world.now() + 10_000;
    while (world.now() < until) {
      if (nodes.stream().allMatch(Node::isReady)) {
        world.log("all entry instances are ready");
        return true;
      }
      World.sleep(100);
    }
    return false;
  }

  List<Node> all() {
    return nodes;
  }

  /** Returns the entry instance that holds the cell, by the logs; null if none does. */
  Node holder() throws IOException {
    Node found = null;
    long newest = -1;
    Pattern held = Pattern.compile("\"outcome\":\"held\",\"reason\":\"token (\\d+)");
    for (Node node : nodes) {
      Matcher matcher = held.matcher(node.log());
      while (matcher.find()) {
        long token = Long.parseLong(matcher.group(1));
        if (token > newest) {
          newest = token;
          found = node;
        }
      }
    }
    return found;
  }

  private static String runCommand() throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!matcher.find()) {
      throw new IOException("the deploy file has no command");
    }
    return matcher.group(1);
  }

  /** Renders the template of the deploy file with the figures of a small installation. */
  private String render(String name, int callers, int readiness, int metrics) throws IOException {
    String text = Files.readString(Path.of("deploy/settings.toml"));
    Map<String, String> fields =
        Map.ofEntries(
            Map.entry("node_name", name),
            Map.entry("zone", "zone-a"),
            Map.entry("limits.cpu_share", "0.75"),
            Map.entry("limits.cores", "1"),
            Map.entry("limits.link_mbps", "1000.0"),
            Map.entry("listen.frontend", "127.0.0.1:" + callers),
            Map.entry("listen.readiness", "127.0.0.1:" + readiness),
            Map.entry("platform.address", store),
            Map.entry("bounds.hold_max_ms", "6000"),
            Map.entry("bounds.stop_ms", "400"),
            Map.entry("bounds.status_s", "120"),
            Map.entry("bounds.grace_s", "6"));
    text = text.replace("{{ip}}:9464", "127.0.0.1:" + metrics);
    // The installation knows no evacuations, so that the section is left out.
    text = text.replaceAll("(?s)\\{\\{#([a-z_.]+)}}.*?\\{\\{/\\1}}", "");
    for (Map.Entry<String, String> field : fields.entrySet()) {
      text = text.replace("{{" + field.getKey() + "}}", field.getValue());
    }
    return text;
  }

  @Override
  public void close() {
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    for (Node node : nodes) {
      try {
        if (node.process != null) {
          node.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
