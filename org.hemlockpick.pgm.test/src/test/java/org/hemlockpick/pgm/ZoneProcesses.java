package org.hemlockpick.pgm;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Runs the stand-ins and three entry instances as separate processes. */
final class ZoneProcesses implements AutoCloseable {
  static final int SIZE = 3;

  private static final String OPERATOR_KEY = "process-operator";
  private static final long EXIT_TIMEOUT_SECONDS = 40;
  private static final int MIN_PORT = 20_000;
  private static final int MAX_PORT = 32_000;
  private static final int SHOWN_LOG_LINES = 12;

  private final Path folder;
  private final Process standIns;
  private final Map<String, String> platform = new HashMap<>();
  private final List<Integer> callerPorts = new ArrayList<>();
  private final List<Integer> peerPorts = new ArrayList<>();
  private final List<Process> entries = new ArrayList<>();

  ZoneProcesses(Path folder) throws IOException {
    this.folder = folder;
    standIns = start("stand-ins", "stand-in", "--workers", "3");
    readAddresses();
    for (int i = 0; i < SIZE; i++) {
      callerPorts.add(freePort());
      peerPorts.add(freePort());
    }
    for (int i = 0; i < SIZE; i++) {
      Path settings = Files.writeString(folder.resolve(name(i) + ".toml"), settings(i));
      entries.add(start(name(i), "serve", "--settings", settings.toString()));
    }
  }

  ApiClient operator(int index) throws IOException {
    return client(index, OPERATOR_KEY);
  }

  ApiClient client(int index, String key) throws IOException {
    return new ApiClient(URI.create("http://127.0.0.1:" + callerPorts.get(index)), key);
  }

  /** Returns the arguments that all operator commands share and the operator's name. */
  List<String> operatorArguments(int index) throws IOException {
    Path key = Files.writeString(folder.resolve("operator.key"), OPERATOR_KEY);
    String url = "http://127.0.0.1:" + callerPorts.get(index);
    return List.of("--url", url, "--key-file", key.toString(), "--operator", "kei");
  }

  /** Sends a signal, such as {@code -STOP}, to an entry instance. */
  void signal(int index, String signal) throws IOException, InterruptedException {
    String pid = Long.toString(entries.get(index).pid());
    new ProcessBuilder("kill", signal, pid).start().waitFor();
  }

  /** Waits for an entry instance to exit and returns its exit status. */
  int exitStatus(int index) throws InterruptedException {
    Process process = entries.get(index);
    if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new AssertionError(name(index) + " did not end");
    }
    return process.exitValue();
  }

  /** Returns the last log lines of all entry instances. */
  String logs() throws IOException {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < SIZE; i++) {
      List<String> lines = Files.readAllLines(folder.resolve(name(i) + ".log"));
      text.append('\n').append(name(i)).append(", alive ").append(entries.get(i).isAlive());
      lines.stream()
          .skip(Math.max(0, lines.size() - SHOWN_LOG_LINES))
          .forEach(line -> text.append("\n  ").append(line));
    }
    return text.toString();
  }

  @Override
  public void close() {
    entries.forEach(Process::destroyForcibly);
    standIns.destroyForcibly();
  }

  private Process start(String log, String... args) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
    command.addAll(List.of(args));
    File errors = folder.resolve(log + ".log").toFile();
    return new ProcessBuilder(command).redirectError(errors).start();
  }

  private void readAddresses() throws IOException {
    BufferedReader lines = standIns.inputReader();
    String line = lines.readLine();
    while (line != null && !line.equals(Messages.STAND_INS_RUNNING)) {
      int space = line.indexOf(' ');
      platform.put(line.substring(0, space), line.substring(space + 1));
      line = lines.readLine();
    }
  }

  private String settings(int index) {
    StringBuilder text = new StringBuilder();
    text.append("[instance]\nname = \"%s\"\nzone = \"zone-a\"\n".formatted(name(index)));
    text.append("[listen]\ncallers = \"127.0.0.1:%d\"\n".formatted(callerPorts.get(index)));
    text.append("peers = \"127.0.0.1:%d\"\n[platform]\n".formatted(peerPorts.get(index)));
    for (String service : List.of("table-service", "object-store", "instance-list")) {
      text.append("%s = \"%s\"\n".formatted(service, platform.get(service)));
    }
    text.append("[operators]\nkey-sha256 = [\"%s\"]\n".formatted(Digests.sha256(OPERATOR_KEY)));
    for (int i = 0; i < SIZE; i++) {
      text.append("[[roster]]\nname = \"%s\"\nzone = \"zone-a\"\n".formatted(name(i)));
      text.append("peers = \"127.0.0.1:%d\"\n".formatted(peerPorts.get(i)));
    }
    return text.toString();
  }

  private static String name(int index) {
    return "entry-a-" + (index + 1);
  }

  /**
   * Returns a free port below the range that the system uses for outgoing connections: a process
   * that starts earlier may take a port of that range.
   */
  private static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // The port is in use: try another one.
      }
    }
  }
}
