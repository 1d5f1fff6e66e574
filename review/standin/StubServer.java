import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server on a loopback port. A handler that returns null closes the connection unanswered. */
final class StubServer {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          work -> {
            Thread thread = new Thread(work, "http");
            thread.setDaemon(true);
            return thread;
          });

  private final Handler handler;
  private final int port;
  private HttpServer server;

  /** A call with its query and its body. */
  record Call(String path, Map<String, String> query, JsonNode body, String expectedInstance) {
    String query(String name) {
      return query.getOrDefault(name, "");
    }

    long number(String name, long otherwise) {
      return query.containsKey(name) ? Long.parseLong(query.get(name)) : otherwise;
    }
  }

  /** The answer to a call. */
  record Reply(int status, JsonNode body) {}

  /** Handles a call; may block. */
  interface Handler {
    Reply handle(Call call) throws InterruptedException;
  }

  StubServer(Handler handler) throws IOException {
    this.handler = handler;
    this.server = listen(0);
    this.port = server.getAddress().getPort();
  }

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Closes the port and all connections at once, as the end of a process does. */
  void stop() {
    server.stop(0);
  }

  /** Listens again at the same port. */
  void restart() throws IOException {
    server = listen(port);
  }

  private HttpServer listen(int wantedPort) throws IOException {
    HttpServer created =
        HttpServer.create(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), wantedPort), 128);
    created.setExecutor(THREADS);
    created.createContext("/", this::serve);
    created.start();
    return created;
  }

  private void serve(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] bytes = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = new HashMap<>();
      String text = exchange.getRequestURI().getRawQuery();
      for (String pair : (text == null ? "" : text).split("&", -1)) {
        int separator = pair.indexOf('=');
        if (separator > 0) {
          String value = pair.substring(separator + 1);
          query.put(pair.substring(0, separator), URLDecoder.decode(value, StandardCharsets.UTF_8));
        }
      }
      JsonNode body = bytes.length == 0 ? object() : MAPPER.readTree(bytes);
      String intended = exchange.getRequestHeaders().getFirst("Expected-Instance");
      String path = exchange.getRequestURI().getPath();
      Reply reply = handler.handle(new Call(path, query, body, intended == null ? "" : intended));
      if (reply == null) {
        return;
      }
      byte[] answer = MAPPER.writeValueAsBytes(reply.body());
      exchange.getResponseHeaders().add("Content-Type", "application/json");
      exchange.sendResponseHeaders(reply.status(), answer.length);
      exchange.getResponseBody().write(answer);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
