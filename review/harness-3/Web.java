import com.fasterxml.jackson.databind.JsonNode;
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

/** An HTTP server on a free loopback port. */
final class Web {
  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          work -> {
            Thread thread = new Thread(work, "web");
            thread.setDaemon(true);
            return thread;
          });

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
  }

  /** A reply; status 0 closes the connection without an answer. */
  record Reply(int status, JsonNode body) {}

  record Call(String path, Map<String, String> query, JsonNode body, String instance) {
    String query(String name) {
      return query.getOrDefault(name, "");
    }

    long number(String name) {
      return query.containsKey(name) ? Long.parseLong(query(name)) : 0;
    }
  }

  interface Handler {
    Reply handle(Call call) throws InterruptedException;
  }

  private final Handler handler;
  private InetSocketAddress bound = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private HttpServer server;

  Web(Handler handler) throws IOException {
    this.handler = handler;
    open();
  }

  String address() {
    return bound.getAddress().getHostAddress() + ":" + bound.getPort();
  }

  /** Listens, again at the same port after a close. */
  void open() throws IOException {
    server = HttpServer.create(bound, 256);
    bound = server.getAddress();
    server.setExecutor(THREADS);
    server.createContext("/", this::serve);
    server.start();
  }

  /** Closes the port and all its connections, as the end of a process does. */
  void close() {
    server.stop(0);
  }

  private void serve(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] bytes = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      for (String pair : raw == null ? new String[0] : raw.split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0) {
          query.put(
              pair.substring(0, equals),
              URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      String instance = exchange.getRequestHeaders().getFirst("Expected-Instance");
      Reply reply =
          handler.handle(
              new Call(
                  exchange.getRequestURI().getPath(),
                  query,
                  Json.parse(bytes),
                  instance == null ? "" : instance));
      if (reply.status() == 0) {
        return;
      }
      byte[] body = Json.bytes(reply.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(reply.status(), body.length);
      exchange.getResponseBody().write(body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
