package org.hemlockpick.internal.loop;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.BlobGet;
import org.hemlockpick.proto.BlobPut;
import org.hemlockpick.proto.BlobReply;

/** Sends calls to the object store and hands each reply to its handler. */
public final class BlobCalls implements LoopSystem {
  private final CallTable<BlobReply> calls = new CallTable<>();
  private final Outbox outbox;
  private final long timeoutMillis;

  /** Creates the table of open calls. */
  public BlobCalls(Outbox outbox, Timing timing) {
    this.outbox = outbox;
    this.timeoutMillis = timing.storeTimeout().toMillis();
  }

  /** Writes an object; a reply that is not ok leaves open whether it was written. */
  public void put(String key, ByteString value, Consumer<BlobReply> handler) {
    send(BlobCall.newBuilder().setPut(BlobPut.newBuilder().setKey(key).setValue(value)), handler);
  }

  /** Reads an object. */
  public void get(String key, Consumer<BlobReply> handler) {
    send(BlobCall.newBuilder().setGet(BlobGet.newBuilder().setKey(key)), handler);
  }

  /** Takes a reply from the object store. */
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
