package org.hemlockpick.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.proto.CallFate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Answers that take longer than the time limit of their call, as they come part by part. */
class LargeAnswerTest {
  private static final long IDLE_TIMEOUT_MILLIS = 1_000;
  private static final int PARTS = 30;
  private static final int PART_BYTES = 4_096;
  private static final long PART_PAUSE_MILLIS = 60;
  private static final int GONE = 410;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private HttpServer server;

  @BeforeEach
  void listen() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext("/long", LargeAnswerTest::sendInParts);
    server.createContext("/stuck", LargeAnswerTest::sendOnlyTheFirstPart);
    server.createContext("/empty", exchange -> exchange.sendResponseHeaders(GONE, -1));
    server.start();
  }

  @AfterEach
  void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  /** A large answer on a slow way was thrown away, and asked for again from its begin. */
  @Test
  void answerThatKeepsArrivingDoesNotTimeOut() {
    HttpResult answer = send("/long");
    assertEquals(CallFate.ANSWERED, answer.fate());
    assertEquals(PARTS * PART_BYTES, answer.body().length);
  }

  /** An answer that has begun may never end. */
  @Test
  void stalledAnswerTimesOut() {
    assertEquals(CallFate.LOST, send("/stuck").fate());
  }

  @Test
  void answerWithoutABodyIsComplete() {
    HttpResult answer = send("/empty");
    assertEquals(CallFate.ANSWERED, answer.fate());
    assertEquals(GONE, answer.status());
    assertEquals(0, answer.body().length);
  }

  private HttpResult send(String path) {
    String address = "127.0.0.1:" + server.getAddress().getPort();
    try (HttpTransport transport = new HttpTransport()) {
      CompletableFuture<HttpResult> answer = new CompletableFuture<>();
      HttpCall call = HttpCall.getLarge(path, IDLE_TIMEOUT_MILLIS);
      new HttpEndpoint(transport, address, 1).send(call, answer::complete);
      return answer.orTimeout(20, TimeUnit.SECONDS).join();
    }
  }

  private static void sendInParts(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, (long) PARTS * PART_BYTES);
    try (var out = exchange.getResponseBody()) {
      for (int i = 0; i < PARTS; i++) {
        out.write(new byte[PART_BYTES]);
        out.flush();
        pause(PART_PAUSE_MILLIS);
      }
    }
  }

  private static void sendOnlyTheFirstPart(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, 2L * PART_BYTES);
    exchange.getResponseBody().write(new byte[PART_BYTES]);
    exchange.getResponseBody().flush();
    pause(TimeUnit.SECONDS.toMillis(30));
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
