package org.hemlockpick.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Put;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.proto.EvacuationChange;
import org.hemlockpick.proto.Input;
import org.jspecify.annotations.Nullable;

/** Serves operators who begin and end evacuations of availability zones. */
@Controller("/v1/evacuations/{zone}")
@Requires(beans = PendingExchanges.class)
final class EvacuationController {
  private static final String OPERATOR = "operator";

  private final CallDispatcher dispatcher;
  private final ApiKeys keys;

  EvacuationController(CallDispatcher dispatcher, ApiKeys keys) {
    this.dispatcher = dispatcher;
    this.keys = keys;
  }

  @Put
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<String>> begin(
      HttpRequest<?> http, String zone, @Body byte @Nullable [] body) {
    try {
      keys.checkOperator(http);
      JsonFields fields = JsonFields.parse(body);
      String operator = fields.requiredText(OPERATOR);
      fields.rejectUnknownFields();
      return dispatch(http, EvacuationChange.newBuilder().setZone(zone).setOperator(operator));
    } catch (BadInputException e) {
      return Replies.refused(e);
    }
  }

  /** Takes the operator as a query parameter, since not every client can send a body here. */
  @Delete
  CompletableFuture<HttpResponse<String>> end(HttpRequest<?> http, String zone) {
    try {
      keys.checkOperator(http);
      String operator = http.getParameters().get(OPERATOR);
      if (operator == null || operator.isEmpty()) {
        throw JsonFields.invalidField(OPERATOR, Messages.FIELD_MISSING);
      }
      return dispatch(
          http, EvacuationChange.newBuilder().setZone(zone).setOperator(operator).setEnd(true));
    } catch (BadInputException e) {
      return Replies.refused(e);
    }
  }

  private CompletableFuture<HttpResponse<String>> dispatch(
      HttpRequest<?> http, EvacuationChange.Builder change) {
    return dispatcher.dispatch(
        http, number -> Input.newBuilder().setEvacuationChange(change.setExchange(number)).build());
  }
}
