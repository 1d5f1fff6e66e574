package org.hemlockpick.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.WorkerCall;

/** Performs the outbound operations of the loop. No method blocks. */
interface Effects extends AutoCloseable {

  /**
   * Starts the network connections.
   *
   * @throws IOException if an address cannot be bound
   */
  void start() throws IOException;

  /** Returns the port at which peers connect. */
  int peersPort();

  /** Replaces the addresses of the peers. */
  void setPeers(Map<String, InetSocketAddress> addresses);

  /** Sends a message to the peer that it names. */
  void send(PeerMessage message);

  /** Calls a worker. */
  void call(WorkerCall call, long clock);

  /** Calls the table service. */
  void call(StoreCall call, long clock);

  /** Calls the object store. */
  void call(BlobCall call, long clock);

  /** Retires the open connections to a worker, so that the next call opens a new one. */
  void resetConnections(String worker);

  @Override
  void close();
}
