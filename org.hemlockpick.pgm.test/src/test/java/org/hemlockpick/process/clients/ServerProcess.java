package org.hemlockpick.process.clients;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.hemlockpick.pgm.Main;
import org.hemlockpick.platform.soak.Platform;
import org.hemlockpick.platform.soak.World;
import org.hemlockpick.process.ChildProcess;
import org.hemlockpick.transport.Eventually;

/** A process with little memory that serves one kind of callers. */
final class ServerProcess implements AutoCloseable {
  /** Limit of the process's open descriptors. */
  static final int DESCRIPTORS = 512;

  /** Descriptors that the process keeps for the store, workers, peers and files. */
  static final int OWN_DESCRIPTORS = 256;

  /**
   * Most resident memory, in KiB: heap 48 MiB, direct memory 2 times 12 (the limit holds for that
   * of Netty and of the JDK each), code 32, classes 80, 64 stacks of 256 KiB, and 64 MiB for the
   * virtual machine itself. The smallest machine has 330 MiB.
   */
  static final long MAX_RESIDENT_KIB = (48 + 2 * 12 + 32 + 80 + 16 + 64) * 1_024;

  /** The flags of deploy/system.toml with less memory, and without the class archive. */
  private static final List<String> JAVA_FLAGS =
      List.of(
          "-Xms24m",
          "-Xmx48m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-XX:+ErrorFileToStdout",
          "-XX:-CreateCoredumpOnCrash",
          "-XX:ReservedCodeCacheSize=32m",
          "-XX:MaxDirectMemorySize=12m",
          "-XX:MaxMetaspaceSize=80m",
          "-Djava.util.logging.manager=org.jboss.logmanager.LogManager");

  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
  private static final int SEED = 1;
  private static final int MIN_PORT = 15_000;
  private static final int MAX_PORT = 32_000;

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(ANSWER_TIMEOUT)
          .build();
  private final World world = new World(SEED);
  private final Platform platform = new Platform(world);
  private final ServerKind kind;
  private final int port = freePort();
  private final Path log;
  private final ChildProcess process;

  /** Starts the process and waits until it serves. */
  ServerProcess(ServerKind kind, Path folder) throws IOException {
    this.kind = kind;
    this.log = folder.resolve("log");
    String store = platform.openStore(kind.name());
    Path settings = folder.resolve("settings.toml");
    Files.writeString(settings, kind.settings(port, freePort(), freePort(), store));
    process = ChildProcess.start(log, folder, command(settings));
    awaitAnswer();
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + port);
  }

  ChildProcess process() {
    return process;
  }

  String log() throws IOException {
    return Files.readString(log);
  }

  /** Waits until an ordinary request is served; the crowd may still be connected. */
  void awaitAnswer() {
    Eventually.holds(
        () -> status(kind.ordinary(uri())) == 200, () -> "an ordinary request is served");
  }

  /** Sends a query of a caller whose answer does not matter. */
  void query() {
    int unused = status(kind.query(uri()));
  }

  /** Returns the status of the answer; 0 without an answer. */
  int status(HttpRequest.Builder request) {
    try {
      HttpResponse<String> response =
          http.send(request.timeout(ANSWER_TIMEOUT).build(), BodyHandlers.ofString());
      return response.statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  /** Returns the largest resident memory so far, in KiB. */
  long residentKib() throws IOException {
    try (Stream<String> lines = Files.lines(proc("status"))) {
      String peak = lines.filter(line -> line.startsWith("VmHWM:")).findFirst().orElseThrow();
      return Long.parseLong(peak.replaceAll("\\D", ""));
    }
  }

  int descriptors() throws IOException {
    try (Stream<Path> descriptors = Files.list(proc("fd"))) {
      return (int) descriptors.count();
    }
  }

  @Override
  public void close() {
    process.kill();
    platform.close();
    world.close();
  }

  private Path proc(String file) {
    return Path.of("/proc", Long.toString(process.pid()), file);
  }

  private static List<String> command(Path settings) {
    String limited = "ulimit -n " + DESCRIPTORS + " && exec \"$0\" \"$@\"";
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    return Stream.of(
            List.of("sh", "-c", limited, java),
            JAVA_FLAGS,
            List.of("-cp", classes, Main.class.getName()),
            List.of("serve", "--settings", settings.toString()))
        .flatMap(List::stream)
        .toList();
  }

  /** Returns a free port below those that the system uses for outgoing connections. */
  private static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket free = new ServerSocket(port)) {
        return free.getLocalPort();
      } catch (BindException e) {
        // The port is in use: try another one.
      }
    }
  }
}
