package org.hemlockpick.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hemlockpick.transport.Eventually;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the metrics that a process of an entry instance on a platform serves as text. */
class CellMetricsTextTest {
  private static final Pattern LINE = Pattern.compile("([A-Za-z0-9_.]+) (-?[0-9]+)");

  private final HttpClient client = HttpClient.newHttpClient();

  @TempDir private Path folder = Path.of("");

  /** Guards against an incident's record without metrics, as no address served any. */
  @Test
  void metricsAreServedAsTextAtTheirAddressOnly() throws IOException, InterruptedException {
    String callers = freeAddress();
    String metrics = freeAddress();
    Path file = Files.writeString(folder.resolve("settings.toml"), settings(callers, metrics));
    ChildProcess process = ChildProcess.start(folder, "entry", "serve", "--settings", "" + file);
    try {
      Eventually.holds(() -> isUp(metrics), () -> out(process));
      assertEquals(503, get(callers, "/topup/").statusCode());
      Eventually.holds(() -> value(values(metrics), "store.unanswered") > 0, () -> out(process));
      Map<String, Long> values = values(metrics);
      assertEquals(0, value(values, "cell.holder"));
      assertEquals(1, value(values, "requests.NOT_READY"));
      assertEquals(1, value(values, "request.latency.micros.count"));
      assertEquals(0, value(values, "requests.inFlight"));
      assertTrue(value(values, "tick.micros.windowCount") > 0);
      assertTrue(value(values, "tick.micros.max") >= value(values, "tick.micros.p50"));
      assertTrue(value(values, "memory.resident.bytes") > 0);
      assertFalse(get(callers, "/metrics").body().contains("tick.micros"));
      assertTrue(process.isAlive());
    } finally {
      process.kill();
    }
  }

  private boolean isUp(String address) {
    try {
      return get(address, "/metrics").statusCode() == 200;
    } catch (UncheckedIOException e) {
      if (e.getCause() instanceof ConnectException) {
        return false;
      }
      throw e;
    }
  }

  /** Returns a value by its name; -1 if there is none. */
  private static long value(Map<String, Long> values, String name) {
    return values.getOrDefault(name, -1L);
  }

  /** Returns the metrics by name; fails if a line is not a name and a whole number. */
  private Map<String, Long> values(String address) {
    HttpResponse<String> response = get(address, "/metrics");
    assertEquals(200, response.statusCode());
    assertTrue(response.headers().firstValue("Content-Type").orElse("").startsWith("text/plain"));
    Map<String, Long> values = new HashMap<>();
    for (String line : response.body().lines().toList()) {
      Matcher match = LINE.matcher(line);
      assertTrue(match.matches(), line);
      assertEquals(null, values.put(match.group(1), Long.valueOf(match.group(2))), line);
    }
    return values;
  }

  private HttpResponse<String> get(String address, String path) {
    HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path)).build();
    try {
      return client.send(request, BodyHandlers.ofString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private static String out(ChildProcess process) {
    try {
      return process.out();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns settings with a table service at which nobody listens. */
  private static String settings(String callers, String metrics) throws IOException {
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
        .formatted(callers, freeAddress(), metrics, freeAddress());
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + free.getLocalPort();
    }
  }
}
