package org.hemlockpick.daemon;

import java.net.InetSocketAddress;
import java.util.Map;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.WorkerCall;

/** Ignores all outbound calls and messages. */
final class NoEffects implements Effects {
  @Override
  public void start() {}

  @Override
  public int peersPort() {
    return 0;
  }

  @Override
  public void setPeers(Map<String, InetSocketAddress> addresses) {}

  @Override
  public void send(PeerMessage message) {}

  @Override
  public void call(WorkerCall call, long clock) {}

  @Override
  public void call(StoreCall call, long clock) {}

  @Override
  public void call(BlobCall call, long clock) {}

  @Override
  public void resetConnections(String worker) {}

  @Override
  public void close() {}
}
