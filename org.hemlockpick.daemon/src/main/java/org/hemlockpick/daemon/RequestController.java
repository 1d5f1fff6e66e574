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

/** Takes the requests of callers to services. */
@Controller("/v1/customers/{customer}/services")
@Requires(beans = PendingExchanges.class)
final class RequestController {
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  private final CallDispatcher calls;
  private final ApiKeys keys;
  private final DaemonMetrics metrics;

  RequestController(CallDispatcher calls, ApiKeys keys, DaemonMetrics metrics) {
    this.calls = calls;
    this.keys = keys;
    this.metrics = metrics;
  }

  @Post("/{service}")
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<String>> request(
      HttpRequest<?> http, String customer, String service, @Body byte @Nullable [] body) {
    long begun = System.nanoTime();
    try {
      CallerRequest request = read(http, customer, service, body).build();
      return calls.pass(http, number -> input(request, number), answer -> reply(answer, begun));
    } catch (BadInputException e) {
      metrics.onRequest(e.code(), System.nanoTime() - begun);
      return Replies.refused(e);
    }
  }

  private HttpResponse<String> reply(CallerAnswer answer, long begun) {
    metrics.onRequest(ResultCode.of(answer.getCode()), System.nanoTime() - begun);
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
    fields.refuseUnknown();
    return request;
  }

  private static Input input(CallerRequest request, long number) {
    return Input.newBuilder().setCallerRequest(request.toBuilder().setExchange(number)).build();
  }
}
