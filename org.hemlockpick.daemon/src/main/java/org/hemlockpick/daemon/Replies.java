package org.hemlockpick.daemon;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import jakarta.json.JsonObject;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;

/** Converts answers to HTTP responses. */
final class Replies {
  private static final int MILLIS_PER_SECOND = 1_000;

  private Replies() {}

  static HttpResponse<String> of(CallerAnswer answer) {
    return of(answer, AnswerJson.of(answer));
  }

  static HttpResponse<String> of(CallerAnswer answer, JsonObject json) {
    MutableHttpResponse<String> response = of(ResultCode.of(answer.getCode()), json);
    int retryAfter = answer.getRetryAfterMillis();
    if (retryAfter > 0) {
      int seconds = (retryAfter - 1) / MILLIS_PER_SECOND + 1;
      response.header("Retry-After", Integer.toString(seconds));
    }
    return response;
  }

  static MutableHttpResponse<String> of(ResultCode code, String detail) {
    return of(code, AnswerJson.head(code, detail).build());
  }

  static MutableHttpResponse<String> of(ResultCode code, JsonObject json) {
    return HttpResponse.<String>status(HttpStatus.valueOf(code.httpStatus()))
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(json.toString());
  }

  static CompletableFuture<HttpResponse<String>> refused(BadInputException e) {
    return CompletableFuture.completedFuture(of(e.code(), e.detail()));
  }
}
