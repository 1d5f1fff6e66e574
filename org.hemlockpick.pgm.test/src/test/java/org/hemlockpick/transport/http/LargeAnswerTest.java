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

/** Tests answers that arrive in parts and take longer in all than their call's idle timeout. */
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

  /** Guards against discarding a large answer on a slow link and requesting it from the start. */
  @Test
  void answerThatKeepsArrivingDoesNotTimeOut() {
    HttpResult answer = send("/long");
    assertEquals(CallFate.ANSWERED, answer.fate());
    assertEquals(PARTS * PART_BYTES, answer.body().length);
  }

  /** An answer that stops arriving after its first part must not block its call forever. */
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
