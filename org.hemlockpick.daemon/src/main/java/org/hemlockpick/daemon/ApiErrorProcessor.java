package org.hemlockpick.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;
import org.hemlockpick.errors.ResultCode;

/** Adds a numbered result to every error that the HTTP server itself detects. */
@Singleton
@Requires(beans = PendingExchanges.class)
final class ApiErrorProcessor implements ErrorResponseProcessor<String> {

  @Override
  public MutableHttpResponse<String> processResponse(
      ErrorContext context, MutableHttpResponse<?> response) {
    HttpStatus found = HttpStatus.valueOf(response.code());
    ResultCode code = code(found);
    String json = AnswerJson.head(code, detail(found, context)).build().toString();
    return response
        .status(code.httpStatus())
        .contentType(MediaType.APPLICATION_JSON_TYPE)
        .body(json);
  }

  private static ResultCode code(HttpStatus status) {
    if (status == HttpStatus.REQUEST_ENTITY_TOO_LARGE) {
      return ResultCode.TOO_LARGE;
    }
    return status.getCode() < HttpStatus.INTERNAL_SERVER_ERROR.getCode()
        ? ResultCode.BAD_REQUEST
        : ResultCode.INTERNAL;
  }

  private static String detail(HttpStatus status, ErrorContext context) {
    return switch (status) {
      case NOT_FOUND -> Messages.NO_SUCH_PATH;
      case METHOD_NOT_ALLOWED -> Messages.WRONG_METHOD;
      case REQUEST_ENTITY_TOO_LARGE -> Messages.BODY_TOO_LARGE;
      case INTERNAL_SERVER_ERROR -> "";
      default -> context.getErrors().isEmpty() ? "" : context.getErrors().get(0).getMessage();
    };
  }
}
