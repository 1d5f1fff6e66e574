package org.hemlockpick.daemon;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntPredicate;

/**
 * Ends the service of callers such that each request of which a byte has been read is answered.
 *
 * <p>First, answers announce that their connection closes, and it closes after them; new
 * connections are still accepted, as callers are still routed here. Then the listeners are closed,
 * and so are the connections without a request; the others are closed after their answers. A
 * request that a caller sends into a closing connection is not read, so that it may be repeated.
 *
 * <p>May be used on any thread.
 */
public final class CallerDrain {
  private final IntPredicate callerPorts;
  private final Set<Channel> listeners = ConcurrentHashMap.newKeySet();
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile Phase phase = Phase.SERVING;

  /**
   * Creates a drain.
   *
   * @param callerPorts selects the ports at which callers connect; others are served until the end
   */
  public CallerDrain(IntPredicate callerPorts) {
    this.callerPorts = callerPorts;
  }

  /** Closes each connection after its next answer from now on. */
  public void begin() {
    phase = Phase.ANNOUNCING;
  }

  /** Accepts no more connections and closes those without a request. */
  public void stopAccepting() {
    phase = Phase.CLOSING;
    listeners.removeIf(listener -> !isForCallers(listener));
    for (Channel listener : listeners) {
      var unused = listener.close();
    }
    connections.forEach(CallerConnection::closeOnceIdle);
  }

  /** Returns whether all connections are closed; one that is accepted later is never read. */
  public boolean isDone() {
    return isClosing() && connections.isEmpty();
  }

  /** Returns the number of open connections of callers. */
  public int openConnections() {
    return connections.size();
  }

  void addListener(Channel listener) {
    listeners.add(listener);
    var unused = listener.closeFuture().addListener(closed -> listeners.remove(listener));
  }

  /**
   * Adds a connection before any byte is read from it. One that was accepted while the listeners
   * were being closed closes at once.
   */
  void add(CallerConnection connection, Channel channel) {
    connections.add(connection);
    var unused = channel.closeFuture().addListener(closed -> connections.remove(connection));
    if (isClosing()) {
      connection.closeOnceIdle();
    }
  }

  boolean isForCallers(Channel channel) {
    return channel.localAddress() instanceof InetSocketAddress address
        && callerPorts.test(address.getPort());
  }

  boolean isAnnouncing() {
    return phase != Phase.SERVING;
  }

  boolean isClosing() {
    return phase == Phase.CLOSING;
  }

  private enum Phase {
    SERVING,
    ANNOUNCING,
    CLOSING
  }
}
