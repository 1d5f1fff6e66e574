package org.hemlockpick.standin;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.BlobGet;
import org.hemlockpick.proto.BlobReply;

/** Fetches payloads from the object store stand-in over HTTP. */
final class RemotePayloads implements PayloadSource {
  private final PlatformClient client;
  private final String address;

  RemotePayloads(PlatformClient client, String address) {
    this.client = client;
    this.address = address;
  }

  @Override
  public CompletableFuture<ByteString> fetch(String key) {
    BlobCall call =
        BlobCall.newBuilder().setCallId(1).setGet(BlobGet.newBuilder().setKey(key)).build();
    return client
        .post(address, "/v1/calls", MessageJson.print(call))
        .thenApply(json -> MessageJson.merge(json, BlobReply.newBuilder()).getValue());
  }
}
