package org.hemlockpick.process.clients;

import com.google.common.hash.Hashing;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.hemlockpick.platform.soak.Platform;

/** The servers of the product. */
enum ServerKind {
  /** Serves callers on the platform, whose table service is a stand-in. */
  PLATFORM(Platform.PREFIX + "0123456789abcdef") {
    @Override
    String settings(int port, int otherPort, int metricsPort, String store) {
      return """
          [instance]
          name = "edge-kgn-a-1"
          zone = "kgn-a"
          [listen]
          callers = "127.0.0.1:%d"
          readiness = "127.0.0.1:%d"
          metrics = "127.0.0.1:%d"
          [cell]
          table-service = "%s"
          stop-grace = "6 s"
          """
          .formatted(port, otherPort, metricsPort, store);
    }

    @Override
    HttpRequest.Builder query(URI server) {
      return HttpRequest.newBuilder(server.resolve(Platform.PREFIX));
    }

    @Override
    HttpRequest.Builder ordinary(URI server) {
      return job(server, "");
    }
  },

  /** Serves customers and operators; it has no platform at all. */
  OWN("/v1/customers/lantern/services/litepay") {
    @Override
    String settings(int port, int otherPort, int metricsPort, String store) {
      return """
          [instance]
          name = "entry-a-1"
          zone = "zone-a"
          [listen]
          callers = "127.0.0.1:%1$d"
          peers = "127.0.0.1:%2$d"
          [platform]
          table-service = "http://127.0.0.1:%3$d/table"
          object-store = "http://127.0.0.1:%3$d/objects"
          instance-list = "http://127.0.0.1:%3$d/list"
          [operators]
          key-sha256 = ["%4$s"]
          [[roster]]
          name = "entry-a-1"
          zone = "zone-a"
          peers = "127.0.0.1:%2$d"
          """
          .formatted(port, otherPort, metricsPort, digest());
    }

    @Override
    HttpRequest.Builder query(URI server) {
      return HttpRequest.newBuilder(server.resolve("/v1/status"))
          .header("X-Hemlockpick-Key", OPERATOR_KEY);
    }

    @Override
    HttpRequest.Builder ordinary(URI server) {
      return query(server);
    }
  };

  private static final String OPERATOR_KEY = "clients-operator";
  private static final AtomicLong jobs = new AtomicLong(System.nanoTime());
  private static final long HOUR_MILLIS = 3_600_000;

  private final String bodyPath;

  ServerKind(String bodyPath) {
    this.bodyPath = bodyPath;
  }

  /** Returns a path with a route that takes a body. */
  String bodyPath() {
    return bodyPath;
  }

  abstract String settings(int port, int otherPort, int metricsPort, String store);

  /** Returns a request that changes nothing. */
  abstract HttpRequest.Builder query(URI server);

  /** Returns a request such as most callers send; served with status 200. */
  abstract HttpRequest.Builder ordinary(URI server);

  /**
   * Returns the submission of a job that does not start during the test.
   *
   * @param padding content of a field that has no meaning
   */
  static HttpRequest.Builder job(URI server, String padding) {
    URI address = server.resolve(Platform.PREFIX + "%016x".formatted(jobs.incrementAndGet()));
    return HttpRequest.newBuilder(address).POST(BodyPublishers.ofString(jobText(padding)));
  }

  static String jobText(String padding) {
    return """
        {"phases":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":2500}],\
        "start_at_ms":%d,"padding":"%s"}"""
        .formatted(System.currentTimeMillis() + HOUR_MILLIS, padding);
  }

  private static String digest() {
    return Hashing.sha256().hashString(OPERATOR_KEY, StandardCharsets.UTF_8).toString();
  }
}
