package org.hemlockpick.process.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Connections of clients that send floods, in turn, and stay open until the crowd is closed. */
final class Crowd implements AutoCloseable {
  private static final long MAX_SEND_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** Time without any progress after which the server counts as not reading. */
  private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time in which the server reads what the buffers of the system hold. */
  private static final long SETTLE_MILLIS = 1_000;

  /** Small, so that a server meets a full connection soon after the client stops reading. */
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private final List<Client> clients = new ArrayList<>();

  Crowd(InetSocketAddress address, List<Flood> floods) throws IOException {
    for (Flood flood : floods) {
      ByteBuffer content = ByteBuffer.wrap(flood.content());
      for (int i = 0; i < flood.connections(); i++) {
        clients.add(new Client(address, flood, content.duplicate()));
      }
    }
  }

  int size() {
    return clients.size();
  }

  /** Sends until everything is sent, nothing more is taken, or the time is up. */
  void send() throws InterruptedException {
    sendAll();
    Thread.sleep(SETTLE_MILLIS);
  }

  private void sendAll() throws InterruptedException {
    long end = System.nanoTime() + MAX_SEND_NANOS;
    long progressAt = System.nanoTime();
    while (System.nanoTime() < end && System.nanoTime() - progressAt < STALL_NANOS) {
      boolean progress = false;
      for (Client client : clients) {
        progress |= client.proceed();
      }
      if (progress) {
        progressAt = System.nanoTime();
      }
      if (clients.stream().allMatch(Client::isDone)) {
        return;
      }
      Thread.sleep(1);
    }
  }

  @Override
  public void close() throws IOException {
    for (Client client : clients) {
      client.channel.close();
    }
  }

  private static final class Client {
    private final ByteBuffer discarded = ByteBuffer.allocate(RECEIVE_BUFFER_BYTES);
    private final SocketChannel channel;
    private final Flood flood;
    private final ByteBuffer content;

    Client(InetSocketAddress address, Flood flood, ByteBuffer content) throws IOException {
      this.flood = flood;
      this.content = content;
      channel = SocketChannel.open();
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      channel.configureBlocking(false);
      boolean unused = channel.connect(address);
    }

    boolean isDone() {
      return !channel.isOpen() || !content.hasRemaining();
    }

    /** Sends and reads what is possible at once, and returns whether anything was sent. */
    boolean proceed() {
      try {
        return channel.isOpen() && channel.finishConnect() && exchange();
      } catch (IOException e) {
        // The server closed the connection, as it may.
        content.position(content.limit());
        return false;
      }
    }

    private boolean exchange() throws IOException {
      if (flood.reads() && channel.read(discarded.clear()) < 0) {
        channel.close();
        return false;
      }
      ByteBuffer piece = content.slice(content.position(), next());
      int sent = channel.write(piece);
      content.position(content.position() + sent);
      return sent > 0;
    }

    private int next() {
      return Math.min(flood.piece(), content.remaining());
    }
  }
}
