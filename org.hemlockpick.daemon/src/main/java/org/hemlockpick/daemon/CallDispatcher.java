package org.hemlockpick.daemon;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.Input;

/** Passes calls to the loop and gives it notice of callers that go away. */
final class CallDispatcher {
  private final PendingExchanges exchanges;

  CallDispatcher(PendingExchanges exchanges) {
    this.exchanges = exchanges;
  }

  /** Passes a call on; returns the response that is made from the loop's answer. */
  CompletableFuture<HttpResponse<String>> dispatch(
      HttpRequest<?> request, LongFunction<Input> input) {
    return dispatch(request, input, Replies::of);
  }

  /** Passes a call on; returns what is made from the loop's answer. */
  <T> CompletableFuture<T> dispatch(
      HttpRequest<?> request, LongFunction<Input> input, Function<CallerAnswer, T> reply) {
    PendingExchanges.Exchange exchange = exchanges.begin(input);
    if (request instanceof NettyHttpRequest<?> netty && !exchange.answer().isDone()) {
      abandonOnClose(netty, exchange);
    }
    return exchange.answer().thenApply(reply);
  }

  /** Watches the connection until the answer is there, as it may carry many more calls. */
  private void abandonOnClose(NettyHttpRequest<?> request, PendingExchanges.Exchange exchange) {
    ChannelFuture closed = request.getChannelHandlerContext().channel().closeFuture();
    ChannelFutureListener listener = done -> exchanges.abandon(exchange.number());
    closed.addListener(listener);
    var unused = exchange.answer().whenComplete((answer, error) -> closed.removeListener(listener));
  }
}
