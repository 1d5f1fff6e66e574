package org.hemlockpick.daemon;

import com.google.protobuf.ByteString;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import jakarta.json.JsonValue;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.Input;
import org.jspecify.annotations.Nullable;

/** Serves the requests of callers to services. */
@Controller("/v1/customers/{customer}/services")
@Requires(beans = PendingExchanges.class)
final class RequestController {
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  private final CallDispatcher dispatcher;
  private final ApiKeys keys;
  private final DaemonMetrics metrics;

  RequestController(CallDispatcher dispatcher, ApiKeys keys, DaemonMetrics metrics) {
    this.dispatcher = dispatcher;
    this.keys = keys;
    this.metrics = metrics;
  }

  @Post("/{service}")
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<String>> request(
      HttpRequest<?> http, String customer, String service, @Body byte @Nullable [] body) {
    long startNanos = System.nanoTime();
    try {
      CallerRequest request = read(http, customer, service, body).build();
      return dispatcher.dispatch(
          http, number -> input(request, number), answer -> reply(answer, startNanos));
    } catch (BadInputException e) {
      metrics.onRequest(e.code(), System.nanoTime() - startNanos);
      return Replies.refused(e);
    }
  }

  private HttpResponse<String> reply(CallerAnswer answer, long startNanos) {
    metrics.onRequest(ResultCode.of(answer.getCode()), System.nanoTime() - startNanos);
    return Replies.of(answer);
  }

  private CallerRequest.Builder read(
      HttpRequest<?> http, String customer, String service, byte @Nullable [] body) {
    JsonFields fields = JsonFields.parse(body);
    CallerRequest.Builder request =
        CallerRequest.newBuilder()
            .setCustomer(customer)
            .setService(service)
            .setKeyDigest(keys.digest(http))
            .setIdempotent(fields.flag("idempotent"))
            .setTimeoutMillis((int) fields.number("timeoutMillis", 0, MAX_TIMEOUT_MILLIS));
    String idempotencyKey = http.getHeaders().get(IDEMPOTENCY_KEY);
    if (idempotencyKey != null) {
      request.setIdempotencyKey(idempotencyKey);
    }
    JsonValue payload = fields.value("body");
    if (payload != null) {
      request.setBody(ByteString.copyFromUtf8(payload.toString()));
    }
    fields.rejectUnknownFields();
    return request;
  }

  private static Input input(CallerRequest request, long number) {
    return Input.newBuilder().setCallerRequest(request.toBuilder().setExchange(number)).build();
  }
}
