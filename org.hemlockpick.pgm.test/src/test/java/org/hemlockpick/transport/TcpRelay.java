package org.hemlockpick.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Forwards TCP connections to a target port. Open connections can be stalled, so that they stay
 * open but never forward bytes again; new ones can be closed after a number of bytes from the
 * target.
 */
public final class TcpRelay implements AutoCloseable {
  private final ServerSocket server;
  private final InetSocketAddress target;
  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private volatile int answerLimitBytes = Integer.MAX_VALUE;

  /** Starts a relay to a port of the loopback address. */
  public TcpRelay(int targetPort) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    target = new InetSocketAddress(loopback, targetPort);
    try {
      server = new ServerSocket(0, 50, loopback);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    start(this::accept);
  }

  /** Returns the address that clients connect to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Returns the number of connections accepted so far. */
  public int accepted() {
    return accepted.get();
  }

  /** Stops forwarding on the connections that are open now, without closing them. */
  public void stall() {
    connections.forEach(connection -> connection.stalled = true);
  }

  /** Closes each new connection after the given number of bytes from the target. */
  public void truncateAnswersAfter(int bytes) {
    answerLimitBytes = bytes;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Connection connection : connections) {
      connection.close();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket client = server.accept();
        Connection connection =
            new Connection(
                client, new Socket(target.getAddress(), target.getPort()), answerLimitBytes);
        connections.add(connection);
        accepted.incrementAndGet();
        start(() -> connection.forward(connection.client, connection.target, Integer.MAX_VALUE));
        start(
            () ->
                connection.forward(
                    connection.target, connection.client, connection.answerLimitBytes));
      } catch (IOException e) {
        // The relay was closed or the target refused the connection.
      }
    }
  }

  private static void start(Runnable work) {
    Thread thread = new Thread(work, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private static final class Connection {
    final Socket client;
    final Socket target;
    final int answerLimitBytes;
    volatile boolean stalled;

    Connection(Socket client, Socket target, int answerLimitBytes) {
      this.client = client;
      this.target = target;
      this.answerLimitBytes = answerLimitBytes;
    }

    void forward(Socket from, Socket to, int limitBytes) {
      byte[] buffer = new byte[8_192];
      int remaining = limitBytes;
      try {
        for (int n = from.getInputStream().read(buffer);
            n >= 0;
            n = from.getInputStream().read(buffer)) {
          int forwarded = Math.min(n, remaining);
          if (!stalled) {
            to.getOutputStream().write(buffer, 0, forwarded);
          }
          remaining -= forwarded;
          if (remaining == 0) {
            break;
          }
        }
      } catch (IOException e) {
        // The other direction ends too, unless the connection is stalled.
      }
      if (!stalled) {
        close();
      }
    }

    void close() {
      try {
        client.close();
        target.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
