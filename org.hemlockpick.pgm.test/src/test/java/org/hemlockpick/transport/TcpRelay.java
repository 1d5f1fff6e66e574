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
 * Passes bytes between two ends. The connections open at a given time can be made to stop passing
 * bytes for good, or to be cut after a number of bytes from the far end.
 */
public final class TcpRelay implements AutoCloseable {
  private final ServerSocket server;
  private final InetSocketAddress target;
  private final List<Pair> pairs = new CopyOnWriteArrayList<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private volatile int answerLimit = Integer.MAX_VALUE;

  /** Starts a relay to a port of this machine. */
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

  /** Returns the address that the near end connects to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Returns how many connections were accepted. */
  public int accepted() {
    return accepted.get();
  }

  /** Makes the connections that are open now pass no more bytes, but stay open. */
  public void silence() {
    pairs.forEach(pair -> pair.silent = true);
  }

  /** Cuts new connections after so many bytes from the far end. */
  public void cutAnswersAfter(int bytes) {
    answerLimit = bytes;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Pair pair : pairs) {
      pair.close();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Pair pair = new Pair(near, new Socket(target.getAddress(), target.getPort()), answerLimit);
        pairs.add(pair);
        accepted.incrementAndGet();
        start(() -> pair.pass(pair.near, pair.far, Integer.MAX_VALUE));
        start(() -> pair.pass(pair.far, pair.near, pair.answerLimit));
      } catch (IOException e) {
        // Closed, or the far end refused: the near end sees its connection end.
      }
    }
  }

  private static void start(Runnable work) {
    Thread thread = new Thread(work, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private static final class Pair {
    final Socket near;
    final Socket far;
    final int answerLimit;
    volatile boolean silent;

    Pair(Socket near, Socket far, int answerLimit) {
      this.near = near;
      this.far = far;
      this.answerLimit = answerLimit;
    }

    void pass(Socket from, Socket to, int limit) {
      byte[] buffer = new byte[8_192];
      int left = limit;
      try {
        for (int n = from.getInputStream().read(buffer);
            n >= 0;
            n = from.getInputStream().read(buffer)) {
          int passed = Math.min(n, left);
          if (!silent) {
            to.getOutputStream().write(buffer, 0, passed);
          }
          left -= passed;
          if (left == 0) {
            break;
          }
        }
      } catch (IOException e) {
        // The other direction ends too.
      }
      if (!silent) {
        close();
      }
    }

    void close() {
      try {
        near.close();
        far.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
