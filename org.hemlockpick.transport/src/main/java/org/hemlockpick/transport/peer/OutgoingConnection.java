package org.hemlockpick.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.util.Backoff;
import org.jspecify.annotations.Nullable;

/**
 * Maintains one connection to a peer and sends messages on it. Runs on the event loop except for
 * {@link #send}.
 */
final class OutgoingConnection {
  private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

  private final InetSocketAddress address;
  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final TrafficCounters traffic;
  private final Backoff backoff;
  private final AtomicInteger bufferedBytes = new AtomicInteger();

  private volatile @Nullable Channel channel;
  private boolean closed;
  private boolean wasConnected;

  OutgoingConnection(
      InetSocketAddress address,
      Bootstrap bootstrap,
      EventLoop loop,
      TrafficCounters traffic,
      Backoff backoff) {
    this.address = address;
    this.bootstrap = bootstrap;
    this.loop = loop;
    this.traffic = traffic;
    this.backoff = backoff;
  }

  InetSocketAddress address() {
    return address;
  }

  void connect() {
    if (closed) {
      return;
    }
    ChannelFuture connecting = bootstrap.connect(address);
    var unused = connecting.addListener(done -> onConnected(connecting));
  }

  void close() {
    closed = true;
    Channel open = channel;
    if (open != null) {
      var unused = open.close();
    }
  }

  /** Sends a message, or drops and counts it; may be called from any thread. */
  void send(PeerMessage message) {
    Channel open = channel;
    int size = message.getSerializedSize();
    if (open == null || size > PeerLink.MAX_FRAME_BYTES) {
      traffic.dropped.increment();
      return;
    }
    if (bufferedBytes.addAndGet(size) > MAX_BUFFERED_BYTES) {
      bufferedBytes.addAndGet(-size);
      traffic.dropped.increment();
      return;
    }
    var unused = open.writeAndFlush(message).addListener(done -> onWritten(done.isSuccess(), size));
  }

  private void onWritten(boolean success, int size) {
    bufferedBytes.addAndGet(-size);
    (success ? traffic.sent : traffic.dropped).increment();
  }

  private void onConnected(ChannelFuture connecting) {
    if (!connecting.isSuccess()) {
      scheduleReconnect();
      return;
    }
    Channel open = connecting.channel();
    if (closed) {
      var unused = open.close();
      return;
    }
    if (wasConnected) {
      traffic.reconnects.increment();
    }
    wasConnected = true;
    channel = open;
    backoff.reset();
    var unused = open.closeFuture().addListener(done -> onClosed());
  }

  private void onClosed() {
    channel = null;
    scheduleReconnect();
  }

  private void scheduleReconnect() {
    if (closed || loop.isShuttingDown()) {
      return;
    }
    var unused = loop.schedule(this::connect, backoff.next(), TimeUnit.MILLISECONDS);
  }
}
