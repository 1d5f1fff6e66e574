import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** What all parts of a case share: the clock, the record, JSON and the HTTP servers. */
final class World implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();

  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final List<HttpServer> servers = new ArrayList<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  World(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
  }

  /** Handles one call; returns the status and the body. */
  interface Handler {
    Reply handle(HttpExchange call, byte[] body) throws Exception;
  }

  /** An answer; one with status 0 is never sent, and one with -1 ends the connection. */
  record Reply(int status, String body) {}

  /** Returns the steady time since the start, in milliseconds. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String line) {
    record.printf("%9.3f %s%n", now() / 1000.0, line);
  }

  ExecutorService threads() {
    return threads;
  }

  /** Starts a server on a free loopback port and returns its address. */
  String serve(Handler handler) throws IOException {
    return "127.0.0.1:" + serve(handler, 0).getAddress().getPort();
  }

  /** Starts a server on a loopback port; 0 for a free one. */
  synchronized HttpServer serve(Handler handler, int port) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
    server.setExecutor(threads);
    server.createContext("/", call -> answer(call, handler));
    server.start();
    servers.add(server);
    return server;
  }

  private void answer(HttpExchange call, Handler handler) throws IOException {
    byte[] body = call.getRequestBody().readAllBytes();
    Reply reply;
    try {
      reply = handler.handle(call, body);
    } catch (InterruptedException e) {
      // The case ends.
      reply = new Reply(-1, "");
    } catch (Exception e) {
      log("stand-in failed: " + e);
      reply = new Reply(500, "{}");
    }
    if (reply.status() == 0) {
      // The answer is lost; the connection delivers nothing further.
      sleep(60_000);
      call.close();
      return;
    }
    if (reply.status() < 0) {
      call.close();
      return;
    }
    byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(reply.status(), bytes.length);
    try (OutputStream out = call.getResponseBody()) {
      out.write(bytes);
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public synchronized void close() {
    servers.forEach(server -> server.stop(0));
    threads.shutdownNow();
    record.flush();
  }
}
