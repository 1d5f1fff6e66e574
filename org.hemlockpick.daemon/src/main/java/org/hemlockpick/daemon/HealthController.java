package org.hemlockpick.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.StatusQuery;
import org.hemlockpick.proto.StatusView;

/** Reports health, readiness and metrics to load balancers and monitoring. */
@Controller("/v1")
@Requires(beans = PendingExchanges.class)
final class HealthController {
  private final CallDispatcher dispatcher;
  private final LoopThread loop;
  private final DaemonMetrics metrics;

  HealthController(CallDispatcher dispatcher, LoopThread loop, DaemonMetrics metrics) {
    this.dispatcher = dispatcher;
    this.loop = loop;
    this.metrics = metrics;
  }

  @Get("/health")
  HttpResponse<String> health() {
    return loop.isResponsive()
        ? Replies.of(ResultCode.DONE, "")
        : Replies.of(ResultCode.NOT_READY, Messages.LOOP_UNRESPONSIVE);
  }

  @Get("/ready")
  CompletableFuture<HttpResponse<String>> ready(HttpRequest<?> http) {
    if (!loop.isResponsive()) {
      return CompletableFuture.completedFuture(health());
    }
    return dispatcher.dispatch(
        http,
        number ->
            Input.newBuilder().setStatusQuery(StatusQuery.newBuilder().setExchange(number)).build(),
        HealthController::readiness);
  }

  @Get("/metrics")
  HttpResponse<String> metrics() {
    return Replies.of(ResultCode.DONE, metrics.toJson());
  }

  private static HttpResponse<String> readiness(CallerAnswer answer) {
    StatusView status = answer.getStatus();
    if (status.getReady()) {
      return Replies.of(ResultCode.DONE, "");
    }
    if (status.getStopping() || answer.getCode() == ResultCode.STOPPING.number()) {
      return Replies.of(ResultCode.STOPPING, "");
    }
    return Replies.of(ResultCode.NOT_READY, status.getNotReadyReason());
  }
}
