package org.hemlockpick.transport.http;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.function.Consumer;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.BlobReply;
import org.hemlockpick.proto.Input;

/**
 * Calls the object store over HTTP. Every call gets exactly one reply and is sent at most once;
 * anything but a complete response with status 200 is reported as a reply that is not ok.
 */
public final class ObjectStoreClient {
  private static final int MAX_CONNECTIONS = 16;

  private final MessageEndpoint endpoint;
  private final long timeoutMillis;
  private final Consumer<Input> inputs;

  /**
   * Creates a client without connections.
   *
   * @param transport transport that all HTTP clients share
   * @param address host and port of the object store
   * @param timeout timeout of a call
   * @param inputs receives the replies; called on any thread, must not block
   */
  public ObjectStoreClient(
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
  public void call(BlobCall call, long clock) {
    MessagePost post = new MessagePost("/v1/calls", call, clock, timeoutMillis);
    endpoint.post(post, result -> inputs.accept(input(call.getCallId(), result)));
  }

  private static Input input(long callId, MessageResult result) {
    BlobReply reply = result.isAnswered() ? read(callId, result.body()) : failure(callId);
    return Input.newBuilder().setClock(result.clock()).setBlobReply(reply).build();
  }

  private static BlobReply read(long callId, String json) {
    try {
      BlobReply reply = Json.merge(json, BlobReply.newBuilder()).build();
      return reply.getCallId() == callId ? reply : failure(callId);
    } catch (InvalidProtocolBufferException e) {
      return failure(callId);
    }
  }

  private static BlobReply failure(long callId) {
    return BlobReply.newBuilder().setCallId(callId).build();
  }
}
