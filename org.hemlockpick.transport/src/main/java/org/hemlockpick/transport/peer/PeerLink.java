package org.hemlockpick.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.util.Backoff;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges messages with the other entry instances over TCP.
 *
 * <p>Messages are sent on the connection that this side opened and received on those that it
 * accepted. Delivery is best-effort: a message may be lost, but is never altered or duplicated. A
 * connection on which nothing arrives for two seconds is closed and reopened. The link runs on one
 * thread.
 */
public final class PeerLink implements AutoCloseable {
  /** Maximum size of a message, in bytes. */
  public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  private static final Logger log = Logger.getLogger(PeerLink.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 1_000;
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  private final String ownName;
  private final InetSocketAddress bind;
  private final Consumer<PeerMessage> receiver;
  private final TrafficCounters traffic = new TrafficCounters();
  private final SplittableRandom random;
  private final Map<String, OutgoingConnection> connections = new ConcurrentHashMap<>();
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final SilenceMonitor silenceMonitor;
  private Map<String, InetSocketAddress> peers;
  private @Nullable Channel server;

  /**
   * Creates a link that is not started.
   *
   * @param ownName name of this entry instance
   * @param bind address to accept connections on; port 0 selects a free port
   * @param peers address of each peer by its name; the own name is ignored
   * @param receiver receives the messages; called on the link's thread, must not block
   */
  public PeerLink(
      String ownName,
      InetSocketAddress bind,
      Map<String, InetSocketAddress> peers,
      Consumer<PeerMessage> receiver) {
    this.ownName = ownName;
    this.bind = bind;
    this.peers = Map.copyOf(peers);
    this.receiver = receiver;
    this.random = new SplittableRandom(ownName.hashCode());
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("peer-link", true), NioIoHandler.newFactory());
    this.loop = group.next();
    this.silenceMonitor = new SilenceMonitor(traffic);
  }

  /**
   * Starts accepting connections and connecting to the peers.
   *
   * @throws IOException if the address cannot be bound
   */
  public synchronized void start() throws IOException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(pipeline(true));
    var binding = bootstrap.bind(bind).awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IOException("cannot bind " + bind, binding.cause());
    }
    server = binding.channel();
    var unused =
        loop.scheduleWithFixedDelay(
            silenceMonitor::check,
            SilenceMonitor.CHECK_INTERVAL_MILLIS,
            SilenceMonitor.CHECK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
    setPeers(peers);
  }

  /**
   * Returns the port at which connections are accepted.
   *
   * @throws IllegalStateException if the link is not started
   */
  public synchronized int port() {
    Channel open = server;
    if (open == null) {
      throw new IllegalStateException("not started");
    }
    return ((InetSocketAddress) open.localAddress()).getPort();
  }

  /**
   * Replaces the peers: closes the connections to those that were removed or have moved and
   * connects to the new ones.
   *
   * @param addresses address of each peer by its name; the own name is ignored
   */
  public synchronized void setPeers(Map<String, InetSocketAddress> addresses) {
    peers = Map.copyOf(addresses);
    if (server == null) {
      return;
    }
    connections.forEach((name, connection) -> closeIfMoved(peers.get(name), name, connection));
    peers.forEach(this::open);
  }

  /** Sends a message to the peer it names, or drops and counts it; never blocks. */
  public void send(PeerMessage message) {
    OutgoingConnection connection = connections.get(message.getTo());
    if (connection == null) {
      traffic.dropped.increment();
      return;
    }
    connection.send(message);
  }

  /** Returns the traffic counters. */
  public PeerCounters counters() {
    return traffic.counters();
  }

  /** Closes all connections and stops the thread; does nothing if already closed. */
  @Override
  public synchronized void close() {
    if (group.isShuttingDown()) {
      return;
    }
    Channel open = server;
    if (open != null) {
      var unused = open.close();
    }
    loop.execute(
        () -> {
          connections.values().forEach(OutgoingConnection::close);
          silenceMonitor.closeAll();
        });
    group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private void closeIfMoved(
      @Nullable InetSocketAddress address, String name, OutgoingConnection connection) {
    if (connection.address().equals(address)) {
      return;
    }
    connections.remove(name);
    loop.execute(connection::close);
  }

  private void open(String name, InetSocketAddress address) {
    if (name.equals(ownName) || connections.containsKey(name)) {
      return;
    }
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(pipeline(false));
    OutgoingConnection connection =
        new OutgoingConnection(
            address,
            bootstrap,
            loop,
            traffic,
            new Backoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random.split()));
    connections.put(name, connection);
    loop.execute(connection::connect);
  }

  private PeerPipeline pipeline(boolean accepted) {
    return new PeerPipeline(
        ownName,
        accepted,
        traffic,
        this::receive,
        channel -> silenceMonitor.add(channel, !accepted));
  }

  private void receive(PeerMessage message) {
    try {
      receiver.accept(message);
    } catch (RuntimeException e) {
      log.error(Messages.receiverFailed(e), e);
    }
  }
}
