package org.hemlockpick.standin;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;

/** Gives errors that the HTTP server itself detects the JSON form of the stand-ins' own errors. */
@Singleton
@Requires(property = StandInController.ENABLED)
final class JsonErrorProcessor implements ErrorResponseProcessor<String> {

  @Override
  public MutableHttpResponse<String> processResponse(
      ErrorContext context, MutableHttpResponse<?> response) {
    HttpStatus status = HttpStatus.valueOf(response.code());
    Reply reply = Reply.error(status.getCode(), text(status, context));
    return response.contentType(MediaType.APPLICATION_JSON_TYPE).body(reply.body());
  }

  private static String text(HttpStatus status, ErrorContext context) {
    if (status == HttpStatus.NOT_FOUND) {
      var request = context.getRequest();
      return Messages.noSuchPath(request.getMethodName(), request.getPath());
    }
    if (status == HttpStatus.INTERNAL_SERVER_ERROR || context.getErrors().isEmpty()) {
      return status.getReason();
    }
    return context.getErrors().get(0).getMessage();
  }
}
