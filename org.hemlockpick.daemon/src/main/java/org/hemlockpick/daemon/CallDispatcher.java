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

/** Dispatches calls to the loop and notifies it when a caller disconnects. */
final class CallDispatcher {
  private final PendingExchanges exchanges;

  CallDispatcher(PendingExchanges exchanges) {
    this.exchanges = exchanges;
  }

  /** Dispatches a call; returns the response that is built from the loop's answer. */
  CompletableFuture<HttpResponse<String>> dispatch(
      HttpRequest<?> request, LongFunction<Input> input) {
    return dispatch(request, input, Replies::of);
  }

  /** Dispatches a call; returns the loop's answer as converted by {@code reply}. */
  <T> CompletableFuture<T> dispatch(
      HttpRequest<?> request, LongFunction<Input> input, Function<CallerAnswer, T> reply) {
    PendingExchanges.Exchange exchange = exchanges.begin(input);
    if (request instanceof NettyHttpRequest<?> netty && !exchange.answer().isDone()) {
      abandonOnClose(netty, exchange);
    }
    return exchange.answer().thenApply(reply);
  }

  /**
   * Abandons the exchange if the connection closes before the answer. The listener is removed with
   * the answer, as the connection may carry many more calls.
   */
  private void abandonOnClose(NettyHttpRequest<?> request, PendingExchanges.Exchange exchange) {
    ChannelFuture closed = request.getChannelHandlerContext().channel().closeFuture();
    ChannelFutureListener listener = done -> exchanges.abandon(exchange.number());
    closed.addListener(listener);
    var unused = exchange.answer().whenComplete((answer, error) -> closed.removeListener(listener));
  }
}
