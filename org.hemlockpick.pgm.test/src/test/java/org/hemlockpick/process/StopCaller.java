package org.hemlockpick.process;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Random;
import org.hemlockpick.transport.RawConnection;

/**
 * A caller that sends one request after the other on an open connection, the body a little after
 * the head, and connects again when the connection is closed, until nobody listens any more.
 */
final class StopCaller implements Runnable {
  private static final int MIN_PAUSE_MILLIS = 50;
  private static final int MAX_PAUSE_MILLIS = 500;
  private static final int MAX_BODY_DELAY_MILLIS = 200;

  private final InetSocketAddress address;
  private final Random random;
  private int answered;
  private int cutOff;

  StopCaller(InetSocketAddress address, long seed) {
    this.address = address;
    this.random = new Random(seed);
  }

  /** Returns the number of whole answers, once the caller has ended. */
  int answered() {
    return answered;
  }

  /** Returns how many requests were known to be read and got no answer. */
  int cutOff() {
    return cutOff;
  }

  @Override
  public void run() {
    try {
      while (true) {
        useConnection();
      }
    } catch (ConnectException e) {
      // Nobody listens any more.
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private void useConnection() throws IOException {
    try (RawConnection connection = new RawConnection(address)) {
      while (!connection.isClosedWithin(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS))) {
        connection.sendHeadAndAwaitItsReading();
        finishRequest(connection);
      }
    } catch (ConnectException e) {
      throw e;
    } catch (EOFException | SocketException e) {
      // The connection was closed before it was known that the request was read.
    }
  }

  private void finishRequest(RawConnection connection) throws IOException {
    int cutOffBefore = cutOff++;
    if (connection.isClosedWithin(random.nextInt(1, MAX_BODY_DELAY_MILLIS))) {
      return;
    }
    connection.sendBody();
    String unused = connection.readAnswer();
    cutOff = cutOffBefore;
    answered++;
  }
}
