package org.hemlockpick.platform.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.hemlockpick.pgm.Main;
import org.hemlockpick.process.ChildProcess;

/** One process of an instance, with its own ports. */
final class Instance {
  /** The flags of deploy/system.toml except for the class archive, which the build creates. */
  private static final List<String> JAVA_FLAGS =
      List.of(
          "-Xms24m",
          "-Xmx160m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-XX:+ErrorFileToStdout",
          "-XX:-CreateCoredumpOnCrash",
          "-XX:ReservedCodeCacheSize=32m",
          "-XX:MaxDirectMemorySize=48m",
          "-Djava.util.logging.manager=org.jboss.logmanager.LogManager");

  private static final String SETTINGS =
      """
      [instance]
      name = "%s"
      zone = "kgn-a"

      [listen]
      callers = "127.0.0.1:%d"
      readiness = "127.0.0.1:%d"
      metrics = "127.0.0.1:%d"

      [cell]
      table-service = "%s"
      worker-lease = "%d ms"
      worker-stop = "%d ms"
      status-keep = "120 s"
      row-bytes = "4096"
      stop-grace = "%d s"
      """;

  /** Time between the stop signal and the kill of a process, in seconds. */
  static final int GRACE_SECONDS = 6;

  private static final int MIN_PORT = 20_000;
  private static final int MAX_PORT = 32_000;

  private final String name;
  private final String label;
  private final int callerPort;
  private final ChildProcess process;
  private boolean paused;
  private boolean ending;

  /**
   * Starts the process.
   *
   * @param label instance name with the number of the process
   * @param store address of the table service for this process
   */
  Instance(Path folder, String name, String label, String store) throws IOException {
    this.name = name;
    this.label = label;
    this.callerPort = freePort();
    String text =
        SETTINGS.formatted(
            name,
            callerPort,
            freePort(),
            freePort(),
            store,
            SimWorker.MAX_LEASE_MILLIS,
            SimWorker.MAX_STOP_MILLIS,
            GRACE_SECONDS);
    Path settings = Files.writeString(folder.resolve(label.replace('#', '-') + ".toml"), text);
    List<String> command = command();
    command.addAll(List.of("serve", "--settings", settings.toString()));
    this.process = ChildProcess.start(folder.resolve(name + ".log"), directory(), command);
  }

  String name() {
    return name;
  }

  String label() {
    return label;
  }

  URI address() {
    return URI.create("http://127.0.0.1:" + callerPort);
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  boolean isPaused() {
    return paused;
  }

  /** Returns whether the process was told to stop or killed. */
  boolean isEnding() {
    return ending;
  }

  /** Pauses or resumes the process. */
  void setPaused(boolean pause) {
    paused = pause;
    try {
      if (pause && isAlive()) {
        process.pause();
      } else if (isAlive()) {
        process.resume();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (AssertionError e) {
      // The process exited before the signal.
    }
  }

  void terminate() {
    ending = true;
    process.terminate();
  }

  void kill() {
    ending = true;
    process.kill();
  }

  int waitFor() {
    return process.waitFor();
  }

  private static List<String> command() {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JAVA_FLAGS);
    String jar = System.getProperty("soak.jar", "");
    if (jar.isEmpty()) {
      command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
    } else {
      command.addAll(List.of("-jar", jar));
    }
    return command;
  }

  /** Returns the parent of the jar's folder, or the current directory without a jar. */
  private static Path directory() {
    String jar = System.getProperty("soak.jar", "");
    Path here = Path.of("").toAbsolutePath();
    return jar.isEmpty() ? here : Path.of(jar).toAbsolutePath().resolve("../..").normalize();
  }

  /** Returns a free port below the range that the system assigns to outgoing connections. */
  private static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (java.net.BindException e) {
        // The port is in use; try another one.
      }
    }
  }
}
