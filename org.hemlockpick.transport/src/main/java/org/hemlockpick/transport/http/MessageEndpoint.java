package org.hemlockpick.transport.http;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.hemlockpick.proto.CallFate;

/** Sends messages of the project to one address; only a response with status 200 is an answer. */
final class MessageEndpoint {
  private final HttpEndpoint endpoint;

  /**
   * Creates an endpoint without connections.
   *
   * @param address host and port
   * @param maxInFlight limit on the calls in flight and so on the open connections
   */
  MessageEndpoint(HttpTransport transport, String address, int maxInFlight) {
    this.endpoint = new HttpEndpoint(transport, address, maxInFlight);
  }

  String address() {
    return endpoint.address();
  }

  /** Makes the next call use a new connection; calls in flight keep theirs. */
  void reset() {
    endpoint.reset();
  }

  /** Closes the connections once the calls in flight have ended. */
  void close() {
    endpoint.close();
  }

  /** Sends a call; the handler is called once, on any thread. */
  void post(MessagePost post, Consumer<MessageResult> handler) {
    HttpCall call =
        new HttpCall(
            HttpCall.Method.POST,
            post.path(),
            headers(post.clock()),
            Json.bytes(post.message()),
            post.timeoutMillis());
    endpoint.send(call, result -> handler.accept(messageResult(result)));
  }

  /** Fetches a resource; the handler is called once, on any thread. */
  void get(String path, long clock, long timeoutMillis, Consumer<MessageResult> handler) {
    HttpCall call =
        new HttpCall(HttpCall.Method.GET, path, headers(clock), new byte[0], timeoutMillis);
    endpoint.send(call, result -> handler.accept(messageResult(result)));
  }

  private static ImmutableMap<String, String> headers(long clock) {
    return ImmutableMap.of(HttpTransport.CLOCK_HEADER, Long.toUnsignedString(clock));
  }

  private static MessageResult messageResult(HttpResult result) {
    if (result.fate() == CallFate.NOT_SENT) {
      return MessageResult.notSent();
    }
    if (!result.isOk()) {
      return MessageResult.lost(result.clock());
    }
    String body = new String(result.body(), StandardCharsets.UTF_8);
    return new MessageResult(CallFate.ANSWERED, body, result.clock());
  }
}
