package org.hemlockpick.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.transport.Eventually;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a process of an entry instance on a platform writes to its standard output. */
class CellProcessLogTest {
  private static final long RUN_SECONDS = 6;

  /** Time in which the signal ends a process that does not handle it. */
  private static final long SIGNAL_MILLIS = 1_000;

  private static final int MAX_CONNECTIONS = 8;
  private static final int CONNECT_MILLIS = 200;
  private static final int MAX_LINE_CHARS = 4_000;

  @TempDir private Path folder = Path.of("");

  /**
   * Guards against the HTTP client's own log line on a connect timeout: its stack trace of many
   * kilobytes was truncated in the log of the incident.
   */
  @Test
  void connectTimeoutsAreLoggedAsShortLines() throws IOException, InterruptedException {
    List<Socket> sockets = new ArrayList<>();
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      fill(unresponsive, sockets);
      List<JsonObject> lines = run("127.0.0.1:" + unresponsive.getLocalPort());
      List<JsonObject> calls = lines.stream().filter(line -> isOfKind(line, "call")).toList();
      assertFalse(calls.isEmpty(), lines::toString);
      assertTrue(calls.size() <= RUN_SECONDS + 6, calls::toString);
      for (JsonObject call : calls) {
        String reason = call.getString("reason");
        assertTrue(reason.contains(": no answer within 1000 ms"), reason);
      }
      for (JsonObject line : lines) {
        assertEquals("edge-kgn-a-1", line.getString("instance"));
        assertEquals(lines.get(0).getString("incarnation"), line.getString("incarnation"));
        assertFalse(line.containsKey("exception"), line::toString);
        assertFalse(line.toString().contains("MacAddress"), line::toString);
      }
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Guards against SIGHUP, the signal that the settings file has changed, ending the process. */
  @Test
  void processContinuesWhenItsSettingsFileChanges() throws IOException, InterruptedException {
    Path file = Files.writeString(folder.resolve("settings.toml"), settings(freeAddress()));
    ChildProcess process = ChildProcess.start(folder, "entry", "serve", "--settings", "" + file);
    try {
      Eventually.holds(() -> out(process).contains("started"), () -> out(process));
      process.reload();
      Eventually.holds(() -> out(process).contains("goes on"), () -> out(process));
      assertTrue(process.isAlive());
    } finally {
      process.kill();
    }
  }

  /** Guards against the signal ending a process that has not read its settings yet. */
  @Test
  void processContinuesWhenItsSettingsFileChangesWhileItStarts()
      throws IOException, InterruptedException {
    Path pipe = folder.resolve("settings.toml");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    ChildProcess process = ChildProcess.start(folder, "entry", "serve", "--settings", "" + pipe);
    try {
      // The pipe opens once the process reads its settings.
      try (Writer first =
          CompletableFuture.supplyAsync(() -> open(pipe)).orTimeout(1, TimeUnit.MINUTES).join()) {
        process.reload();
        TimeUnit.MILLISECONDS.sleep(SIGNAL_MILLIS);
        assertTrue(process.isAlive(), () -> out(process));
        // It reads them twice: what kind they are of, and the settings.
        Path file = Files.writeString(folder.resolve("second.toml"), settings(freeAddress()));
        Files.move(file, pipe, StandardCopyOption.REPLACE_EXISTING);
        first.write(Files.readString(pipe));
      }
      Eventually.holds(() -> out(process).contains("started"), () -> out(process));
      Eventually.holds(() -> out(process).contains("goes on"), () -> out(process));
      assertTrue(process.isAlive());
    } finally {
      process.kill();
    }
  }

  private static Writer open(Path pipe) {
    try {
      return Files.newBufferedWriter(pipe);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String out(ChildProcess process) {
    try {
      return process.out();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean isOfKind(JsonObject line, String kind) {
    return line.getString("kind", "").equals(kind);
  }

  /** Connects until the backlog is full, so that further connection attempts time out. */
  private static void fill(ServerSocket unresponsive, List<Socket> sockets) throws IOException {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      Socket socket = new Socket();
      sockets.add(socket);
      try {
        socket.connect(unresponsive.getLocalSocketAddress(), CONNECT_MILLIS);
      } catch (SocketTimeoutException e) {
        return;
      }
    }
    throw new AssertionError("every connection was accepted");
  }

  private List<JsonObject> run(String store) throws IOException, InterruptedException {
    Path file = Files.writeString(folder.resolve("settings.toml"), settings(store));
    ChildProcess process = ChildProcess.start(folder, "entry", "serve", "--settings", "" + file);
    TimeUnit.SECONDS.sleep(RUN_SECONDS);
    process.terminate();
    int unused = process.waitFor();
    List<JsonObject> lines = new ArrayList<>();
    for (String line : process.out().lines().toList()) {
      assertTrue(line.length() < MAX_LINE_CHARS, line);
      lines.add(JsonLines.parse(line));
    }
    assertEquals("", Files.readString(process.log()));
    return lines;
  }

  private static String settings(String store) throws IOException {
    return """
        [instance]
        name = "edge-kgn-a-1"
        zone = "kgn-a"
        [listen]
        callers = "%s"
        readiness = "%s"
        metrics = "%s"
        [cell]
        table-service = "%s"
        """
        .formatted(freeAddress(), freeAddress(), freeAddress(), store);
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + free.getLocalPort();
    }
  }
}
