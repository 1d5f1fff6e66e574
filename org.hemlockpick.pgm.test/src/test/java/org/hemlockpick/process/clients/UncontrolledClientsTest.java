package org.hemlockpick.process.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.hemlockpick.transport.RawConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that a process survives clients that send as much as they can, with ordinary callers beside
 * them. Only what does not depend on the speed of the machine is checked. The number of clients and
 * the bounds were fixed on code without limits for such clients.
 */
class UncontrolledClientsTest {
  private static final int ORDINARY_CALLERS = 4;
  private static final long CALLER_PAUSE_MILLIS = 20;
  private static final int MAX_HEAD_BYTES = 16_384;

  @TempDir private Path folder = Path.of("");

  @SuppressWarnings("NullAway.Init")
  private ServerProcess server;

  private final ExecutorService callers = Executors.newFixedThreadPool(ORDINARY_CALLERS);

  /** Ends everything and prints the end of the log, which is gone with the folder. */
  @AfterEach
  void close() throws IOException {
    callers.shutdownNow();
    server.close();
    String log = server.log();
    System.out.println(log.substring(Math.max(0, log.length() - 4_000)));
  }

  /** Guards against callers that take the descriptors of the store, the workers and the peers. */
  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void idleConnections(ServerKind kind) throws Exception {
    assertSurvives(kind, Flood.idleConnections());
  }

  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void headsOverTheLimit(ServerKind kind) throws Exception {
    assertSurvives(kind, Flood.headsOverTheLimit());
  }

  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void headsWithoutEnd(ServerKind kind) throws Exception {
    assertSurvives(kind, Flood.headsWithoutEnd());
  }

  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void emptyLines(ServerKind kind) throws Exception {
    assertSurvives(kind, Flood.emptyLines());
  }

  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void wholeBodies(ServerKind kind) throws Exception {
    assertSurvives(kind, Flood.wholeBodies(kind.bodyPath()));
  }

  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void bodiesInPieces(ServerKind kind) throws Exception {
    assertSurvives(kind, Flood.bodiesInPieces(kind.bodyPath()));
  }

  /** Guards against memory that is held by bodies of which only the last byte is missing. */
  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void bodiesWithoutTheirLastByte(ServerKind kind) throws Exception {
    assertSurvives(kind, Flood.bodiesWithoutTheirLastByte(kind.bodyPath()));
  }

  /** Guards against requests that are read and answered though nobody reads the responses. */
  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void pipelinedRequests(ServerKind kind) throws Exception {
    assertSurvives(kind, Flood.pipelinedRequests());
  }

  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void bodiesAndPipelinedRequests(ServerKind kind) throws Exception {
    assertSurvives(
        kind, Flood.bodiesWithoutTheirLastByte(kind.bodyPath()), Flood.pipelinedRequests());
  }

  /** Guards against a process that is so busy with its clients that it does not end. */
  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void signalEndsTheProcessUnderLoad(ServerKind kind) throws Exception {
    start(kind);
    Flood bodies = Flood.bodiesWithoutTheirLastByte(kind.bodyPath());
    try (Crowd crowd = new Crowd(server.address(), List.of(bodies, Flood.pipelinedRequests()))) {
      crowd.send();
      server.process().terminate();
      assertEquals(0, server.process().waitFor());
    }
    assertMemorySufficed();
  }

  @ParameterizedTest
  @EnumSource(value = ServerKind.class, names = "PLATFORM")
  void largestBodyIsServed(ServerKind kind) throws Exception {
    start(kind);
    int padding = Flood.MAX_BODY_BYTES - ServerKind.jobText("").length();
    assertEquals(200, server.status(ServerKind.job(server.uri(), "x".repeat(padding))));
  }

  @ParameterizedTest
  @EnumSource(ServerKind.class)
  void largestHeadIsServed(ServerKind kind) throws Exception {
    start(kind);
    try (RawConnection connection = new RawConnection(server.address())) {
      connection.send(largestHead(kind.query(server.uri()).build()));
      String answer = connection.readAnswer();
      assertTrue(answer.startsWith("http/1.1 200"), answer);
    }
  }

  private static String largestHead(HttpRequest request) {
    StringBuilder head = new StringBuilder("GET " + request.uri().getPath() + " HTTP/1.1\r\n");
    head.append("Host: 127.0.0.1\r\n");
    request.headers().map().forEach((k, v) -> head.append(k + ": " + v.get(0) + "\r\n"));
    head.append("X: ");
    String end = "\r\n\r\n";
    return head + "a".repeat(MAX_HEAD_BYTES - head.length() - end.length()) + end;
  }

  private void assertSurvives(ServerKind kind, Flood... floods) throws Exception {
    start(kind);
    for (int i = 0; i < ORDINARY_CALLERS; i++) {
      callers.execute(this::query);
    }
    try (Crowd crowd = new Crowd(server.address(), List.of(floods))) {
      crowd.send();
      assertTrue(server.process().isAlive(), "the process ended");
      int most = crowd.size() + ORDINARY_CALLERS + ServerProcess.OWN_DESCRIPTORS;
      int descriptors = server.descriptors();
      assertTrue(descriptors <= most, "open descriptors: " + descriptors);
      server.awaitAnswer();
    }
    long resident = server.residentKib();
    assertTrue(resident <= ServerProcess.MAX_RESIDENT_KIB, "resident KiB: " + resident);
    assertTrue(server.process().isAlive());
    assertMemorySufficed();
    assertFalse(server.log().contains("Too many open files"), "descriptors used up");
  }

  private void assertMemorySufficed() throws IOException {
    String log = server.log();
    assertFalse(log.contains("OutOfMemoryError") || log.contains("OutOfDirectMemoryError"));
  }

  private void start(ServerKind kind) throws IOException {
    server = new ServerProcess(kind, folder);
  }

  private void query() {
    while (!Thread.currentThread().isInterrupted()) {
      server.query();
      try {
        Thread.sleep(CALLER_PAUSE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
