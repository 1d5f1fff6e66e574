package org.hemlockpick.internal.loop;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.BlobGet;
import org.hemlockpick.proto.BlobPut;
import org.hemlockpick.proto.BlobReply;

/**
 * Sends calls to the object store and passes each reply to its handler. A call without an answer
 * within the time limit completes with the default reply, which is not ok.
 */
public final class BlobCalls implements LoopSystem {
  private final CallTable<BlobReply> calls = new CallTable<>();
  private final Outbox outbox;
  private final long timeoutMillis;

  /** Creates the client; no call is in flight yet. */
  public BlobCalls(Outbox outbox, Timing timing) {
    this.outbox = outbox;
    this.timeoutMillis = timing.storeTimeout().toMillis();
  }

  /** Writes an object. With a reply that is not ok, the object may or may not have been written. */
  public void put(String key, ByteString value, Consumer<BlobReply> handler) {
    send(BlobCall.newBuilder().setPut(BlobPut.newBuilder().setKey(key).setValue(value)), handler);
  }

  /** Reads an object. */
  public void get(String key, Consumer<BlobReply> handler) {
    send(BlobCall.newBuilder().setGet(BlobGet.newBuilder().setKey(key)), handler);
  }

  /** Handles a reply from the object store. */
  public void on(BlobReply reply) {
    calls.settle(reply.getCallId(), reply);
  }

  @Override
  public void run(long now) {
    calls.expire(now);
  }

  private void send(BlobCall.Builder call, Consumer<BlobReply> handler) {
    long id = calls.add(outbox.now() + timeoutMillis, BlobReply.getDefaultInstance(), handler);
    outbox.call(call.setCallId(id));
  }
}
