package org.hemlockpick.platform.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server on its own loopback port that can leave a call unanswered. */
final class StubHttpServer implements AutoCloseable {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          work -> {
            Thread thread = new Thread(work, "soak-web");
            thread.setDaemon(true);
            return thread;
          });

  static {
    // Without TCP_NODELAY, small responses wait for the peer's delayed acknowledgement.
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private final Handler handler;
  private final InetSocketAddress bound;
  private HttpServer server;

  StubHttpServer(Handler handler) throws IOException {
    this.handler = handler;
    this.server = listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    this.bound = server.getAddress();
  }

  private HttpServer listen(InetSocketAddress where) throws IOException {
    HttpServer created = HttpServer.create(where, 128);
    created.setExecutor(THREADS);
    created.createContext("/", exchange -> serve(exchange, handler));
    created.start();
    return created;
  }

  /** Listens at the same port again after {@link #close}. */
  void reopen() {
    try {
      server = listen(bound);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Handles a call; may block. */
  @FunctionalInterface
  interface Handler {
    Reply handle(Call call) throws InterruptedException;
  }

  /**
   * A call.
   *
   * @param expectedInstance value of the Expected-Instance header; empty without one
   */
  record Call(String path, Map<String, String> query, JsonNode body, String expectedInstance) {
    String query(String name) {
      return query.getOrDefault(name, "");
    }

    long number(String name) {
      return query.containsKey(name) ? Long.parseLong(query(name)) : 0;
    }
  }

  /**
   * The reply to a call.
   *
   * @param status HTTP status; 0 closes the connection without a response
   * @param silentMillis time for which the connection stays open before it is closed without a
   *     response
   */
  record Reply(int status, JsonNode body, long silentMillis) {
    static Reply of(int status, JsonNode body) {
      return new Reply(status, body, 0);
    }

    static Reply none(long silentMillis) {
      return new Reply(0, newObject(), silentMillis);
    }
  }

  static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  String address() {
    return "127.0.0.1:" + bound.getPort();
  }

  /** Breaks all connections; new ones are refused. */
  @Override
  public void close() {
    server.stop(0);
  }

  private static void serve(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      Reply reply = handler.handle(read(exchange));
      if (reply.status() == 0) {
        Thread.sleep(reply.silentMillis());
        return;
      }
      byte[] bytes = MAPPER.writeValueAsBytes(reply.body());
      exchange.getResponseHeaders().add("Content-Type", "application/json");
      exchange.sendResponseHeaders(reply.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      System.err.println("the stand-in failed: " + e);
      throw e;
    }
  }

  private static Call read(HttpExchange exchange) throws IOException {
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = new HashMap<>();
    String text = Objects.requireNonNullElse(exchange.getRequestURI().getRawQuery(), "");
    for (String pair : text.split("&", -1)) {
      int separator = pair.indexOf('=');
      if (separator > 0) {
        query.put(
            pair.substring(0, separator),
            URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
      }
    }
    JsonNode body = bytes.length == 0 ? newObject() : MAPPER.readTree(bytes);
    String intended =
        Objects.requireNonNullElse(exchange.getRequestHeaders().getFirst("Expected-Instance"), "");
    return new Call(exchange.getRequestURI().getPath(), query, body, intended);
  }
}
