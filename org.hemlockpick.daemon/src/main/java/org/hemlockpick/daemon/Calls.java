package org.hemlockpick.daemon;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.server.netty.NettyHttpRequest;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.Input;

/** Passes calls to the loop and gives it notice of callers that go away. */
final class Calls {
  private final Exchanges exchanges;

  Calls(Exchanges exchanges) {
    this.exchanges = exchanges;
  }

  /** Passes a call on; returns the response that is made from the loop's answer. */
  CompletableFuture<HttpResponse<String>> pass(HttpRequest<?> request, LongFunction<Input> input) {
    return pass(request, input, Replies::of);
  }

  /** Passes a call on; returns what is made from the loop's answer. */
  <T> CompletableFuture<T> pass(
      HttpRequest<?> request, LongFunction<Input> input, Function<CallerAnswer, T> reply) {
    Exchanges.Exchange exchange = exchanges.begin(input);
    if (request instanceof NettyHttpRequest<?> netty && !exchange.answer().isDone()) {
      watch(netty, exchange);
    }
    return exchange.answer().thenApply(reply);
  }

  private void watch(NettyHttpRequest<?> request, Exchanges.Exchange exchange) {
    request
        .getChannelHandlerContext()
        .channel()
        .closeFuture()
        .addListener(closed -> exchanges.abandon(exchange.number()));
  }
}
