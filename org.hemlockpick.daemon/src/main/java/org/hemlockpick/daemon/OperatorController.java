package org.hemlockpick.daemon;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.ContractApply;
import org.hemlockpick.proto.ContractQuery;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.StatusQuery;
import org.hemlockpick.proto.StopOrder;
import org.jspecify.annotations.Nullable;

/** Serves operators: contracts, status and the planned stop. */
@Controller("/v1")
@Requires(beans = PendingExchanges.class)
final class OperatorController {
  private final CallDispatcher dispatcher;
  private final ApiKeys keys;
  private final InputQueue queue;

  OperatorController(CallDispatcher dispatcher, ApiKeys keys, InputQueue queue) {
    this.dispatcher = dispatcher;
    this.keys = keys;
    this.queue = queue;
  }

  @Get("/contracts")
  CompletableFuture<HttpResponse<String>> contracts(HttpRequest<?> http) {
    try {
      keys.checkOperator(http);
      return dispatcher.dispatch(
          http,
          number -> input(ContractQuery.newBuilder().setExchange(number)),
          answer -> Replies.of(answer, AnswerJson.ofContracts(answer)));
    } catch (BadInputException e) {
      return Replies.refused(e);
    }
  }

  @Put("/contracts/{customer}")
  @Consumes(MediaType.ALL)
  CompletableFuture<HttpResponse<String>> apply(
      HttpRequest<?> http, String customer, @Body byte @Nullable [] body) {
    try {
      keys.checkOperator(http);
      ContractApply.Builder apply = read(customer, body);
      return dispatcher.dispatch(
          http, number -> Input.newBuilder().setContractApply(apply.setExchange(number)).build());
    } catch (BadInputException e) {
      return Replies.refused(e);
    }
  }

  @Get("/status")
  CompletableFuture<HttpResponse<String>> status(HttpRequest<?> http) {
    try {
      keys.checkOperator(http);
      return dispatcher.dispatch(
          http, number -> input(StatusQuery.newBuilder().setExchange(number)));
    } catch (BadInputException e) {
      return Replies.refused(e);
    }
  }

  @Post("/stop")
  HttpResponse<String> stop(HttpRequest<?> http) {
    try {
      keys.checkOperator(http);
    } catch (BadInputException e) {
      return Replies.of(e.code(), e.detail());
    }
    queue.put(Input.newBuilder().setStopOrder(StopOrder.getDefaultInstance()).build());
    return Replies.of(ResultCode.DONE, Messages.STOP_BEGUN);
  }

  private static ContractApply.Builder read(String customer, byte @Nullable [] body) {
    JsonFields fields = JsonFields.parse(body);
    ContractApply.Builder apply =
        ContractApply.newBuilder()
            .setCustomer(customer)
            .setBaseRevision(fields.number("baseRevision", 0, Long.MAX_VALUE))
            .setOperator(fields.requiredText("operator"))
            .setText(fields.text("text"));
    fields.rejectUnknownFields();
    return apply;
  }

  private static Input input(ContractQuery.Builder query) {
    return Input.newBuilder().setContractQuery(query).build();
  }

  private static Input input(StatusQuery.Builder query) {
    return Input.newBuilder().setStatusQuery(query).build();
  }
}
