package org.hemlockpick.transport.http;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.function.Consumer;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;

/**
 * Calls the table service over HTTP. Every call gets exactly one reply and is sent at most once;
 * anything but a complete response with status 200 is reported as {@link
 * StoreStatus#STORE_UNKNOWN}.
 */
public final class TableServiceClient {
  private static final int MAX_CONNECTIONS = 16;

  private final MessageEndpoint endpoint;
  private final long timeoutMillis;
  private final Consumer<Input> inputs;

  /**
   * Creates a client without connections.
   *
   * @param transport transport that all HTTP clients share
   * @param address host and port of the table service
   * @param timeout timeout of a call
   * @param inputs receives the replies; called on any thread, must not block
   */
  public TableServiceClient(
      HttpTransport transport, String address, Duration timeout, Consumer<Input> inputs) {
    this.endpoint = new MessageEndpoint(transport, address, MAX_CONNECTIONS);
    this.timeoutMillis = timeout.toMillis();
    this.inputs = inputs;
  }

  /**
   * Sends a call; its reply arrives as an input.
   *
   * @param clock Lamport clock of this entry instance
   */
  public void call(StoreCall call, long clock) {
    MessagePost post = new MessagePost("/v1/calls", call, clock, timeoutMillis);
    endpoint.post(post, result -> inputs.accept(input(call.getCallId(), result)));
  }

  private static Input input(long callId, MessageResult result) {
    StoreReply reply = result.isAnswered() ? read(callId, result.body()) : unknown(callId);
    return Input.newBuilder().setClock(result.clock()).setStoreReply(reply).build();
  }

  private static StoreReply read(long callId, String json) {
    try {
      StoreReply reply = Json.merge(json, StoreReply.newBuilder()).build();
      return reply.getCallId() == callId ? reply : unknown(callId);
    } catch (InvalidProtocolBufferException e) {
      return unknown(callId);
    }
  }

  private static StoreReply unknown(long callId) {
    return StoreReply.newBuilder().setCallId(callId).setStatus(StoreStatus.STORE_UNKNOWN).build();
  }
}
