package org.hemlockpick.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hemlockpick.proto.BlobCall;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.WorkerCall;
import org.hemlockpick.transport.http.HttpTransport;
import org.hemlockpick.transport.http.InstanceListPoller;
import org.hemlockpick.transport.http.ObjectStoreClient;
import org.hemlockpick.transport.http.TableServiceClient;
import org.hemlockpick.transport.http.WorkerClient;
import org.hemlockpick.transport.peer.PeerLink;

/** Communicates with peers over TCP, with workers and the platform's services over HTTP. */
final class NetworkEffects implements Effects {
  private static final Duration LIST_INTERVAL = Duration.ofMillis(500);

  private final HttpTransport transport = new HttpTransport();
  private final PeerLink peers;
  private final WorkerClient workers;
  private final TableServiceClient tableService;
  private final ObjectStoreClient objectStore;
  private final InstanceListPoller instanceList;

  NetworkEffects(
      Settings settings, Consumer<Input> inputs, LongSupplier clock, DaemonMetrics metrics) {
    Settings.Platform platform = settings.platform();
    Duration timeout = settings.instance().timing().storeTimeout();
    peers =
        new PeerLink(
            settings.instance().name(),
            settings.peers(),
            settings.peerAddresses(),
            message -> inputs.accept(input(message)));
    workers = new WorkerClient(transport, inputs);
    tableService =
        new TableServiceClient(transport, address(platform.tableService()), timeout, inputs);
    objectStore =
        new ObjectStoreClient(transport, address(platform.objectStore()), timeout, inputs);
    instanceList =
        new InstanceListPoller(
            transport, address(platform.instanceList()), LIST_INTERVAL, clock, inputs);
    showCounters(metrics);
  }

  @Override
  public void start() throws IOException {
    peers.start();
    instanceList.start();
  }

  @Override
  public int peersPort() {
    return peers.port();
  }

  @Override
  public void setPeers(Map<String, InetSocketAddress> addresses) {
    peers.setPeers(addresses);
  }

  @Override
  public void send(PeerMessage message) {
    peers.send(message);
  }

  @Override
  public void call(WorkerCall call, long clock) {
    workers.call(call, clock);
  }

  @Override
  public void call(StoreCall call, long clock) {
    tableService.call(call, clock);
  }

  @Override
  public void call(BlobCall call, long clock) {
    objectStore.call(call, clock);
  }

  @Override
  public void resetConnections(String worker) {
    workers.resetConnections(worker);
  }

  @Override
  public void close() {
    instanceList.close();
    peers.close();
    transport.close();
  }

  private void showCounters(DaemonMetrics metrics) {
    metrics.addGauge("peers.sent", () -> peers.counters().sent());
    metrics.addGauge("peers.received", () -> peers.counters().received());
    metrics.addGauge("peers.dropped", () -> peers.counters().dropped());
    metrics.addGauge("peers.badFrames", () -> peers.counters().badFrames());
    metrics.addGauge("peers.reconnects", () -> peers.counters().reconnects());
    metrics.addGauge("peers.silences", () -> peers.counters().silences());
    metrics.addGauge("peers.bytesIn", () -> peers.counters().bytesIn());
    metrics.addGauge("peers.bytesOut", () -> peers.counters().bytesOut());
  }

  private static Input input(PeerMessage message) {
    return Input.newBuilder().setClock(message.getClock()).setPeerMessage(message).build();
  }

  /** Returns host, port and path of a URL. */
  private static String address(URI url) {
    String address = url.getAuthority() + url.getPath();
    return address.endsWith("/") ? address.substring(0, address.length() - 1) : address;
  }
}
