package org.hemlockpick.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

/**
 * Serves the metrics of an entry instance of a cell as text. Only the listener for metrics does, as
 * callers may have a queue of the same path.
 */
@Requires(beans = CellProcessMetrics.class)
@Controller(value = "/metrics", port = "${micronaut.server.netty.listeners.metrics.port}")
final class CellMetricsController {
  private final CellProcessMetrics metrics;

  CellMetricsController(CellProcessMetrics metrics) {
    this.metrics = metrics;
  }

  @Get(produces = MediaType.TEXT_PLAIN)
  HttpResponse<String> metrics() {
    return HttpResponse.ok(metrics.toText());
  }
}
