package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.BlobReply;

/** Stand-in for the object store: POST /v1/calls with a BlobCall returns a BlobReply. */
public final class ObjectStoreStandIn implements StandIn {
  private final Timeline timeline;
  private final Map<String, ByteString> objects = new ConcurrentHashMap<>();

  /** Creates an empty object store. */
  public ObjectStoreStandIn(String name, InstantSource time) {
    this.timeline = new Timeline(name, time);
  }

  @Override
  public Timeline timeline() {
    return timeline;
  }

  @Override
  public CompletableFuture<Reply> handle(Call call) {
    if (!call.isPost("/v1/calls")) {
      throw new CallException(404, Messages.noSuchPath(call.method(), call.path()));
    }
    BlobCall blobCall = MessageJson.merge(call.body(), BlobCall.newBuilder()).build();
    BlobReply.Builder reply =
        switch (blobCall.getBodyCase()) {
          case PUT -> put(blobCall);
          case GET -> get(blobCall.getGet().getKey());
          case BODY_NOT_SET -> throw new CallException(400, Messages.emptyCall());
        };
    return CompletableFuture.completedFuture(Reply.of(reply.setCallId(blobCall.getCallId())));
  }

  private BlobReply.Builder put(BlobCall call) {
    objects.put(call.getPut().getKey(), call.getPut().getValue());
    timeline.write("put", call.getPut().getKey(), call.getPut().getValue().size() + " bytes");
    return BlobReply.newBuilder().setOk(true).setFound(true);
  }

  private BlobReply.Builder get(String key) {
    ByteString value = objects.get(key);
    BlobReply.Builder reply = BlobReply.newBuilder().setOk(true);
    return value == null ? reply : reply.setFound(true).setValue(value);
  }
}
