package org.hemlockpick.transport.peer;

import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockpick.proto.PeerMessage;
import org.jboss.logging.Logger;

/**
 * Monitors connections for silence: pings the idle ones that this side opened and closes those that
 * stay silent. Runs on the event loop.
 */
final class SilenceMonitor {
  /** Interval between two checks of the connections, in milliseconds. */
  static final long CHECK_INTERVAL_MILLIS = 250;

  private static final Logger log = Logger.getLogger(SilenceMonitor.class);
  private static final long PING_AFTER_MILLIS = 700;
  private static final long MAX_SILENCE_MILLIS = 2_000;

  private final TrafficCounters traffic;
  private final Map<Channel, Boolean> pingsByChannel = new HashMap<>();
  private final Set<Channel> pinged = new HashSet<>();
  private long lastCheckNanos = System.nanoTime();

  SilenceMonitor(TrafficCounters traffic) {
    this.traffic = traffic;
  }

  void add(Channel channel, boolean pings) {
    pingsByChannel.put(channel, pings);
    var unused = channel.closeFuture().addListener(done -> remove(channel));
  }

  /** Closes all connections. */
  void closeAll() {
    for (Channel channel : Set.copyOf(pingsByChannel.keySet())) {
      var unused = channel.close();
    }
  }

  void check() {
    long now = System.nanoTime();
    boolean paused =
        TimeUnit.NANOSECONDS.toMillis(now - lastCheckNanos) > 3 * CHECK_INTERVAL_MILLIS;
    lastCheckNanos = now;
    Map.copyOf(pingsByChannel).forEach((channel, pings) -> check(channel, pings, now, paused));
  }

  private void check(Channel channel, boolean pings, long now, boolean paused) {
    ByteCounter counter = channel.pipeline().get(ByteCounter.class);
    if (counter == null || !channel.isActive()) {
      return;
    }
    if (paused) {
      // Data that arrived during a pause of this process has not been read yet.
      counter.restartSilence(now);
    }
    long silent = counter.silentMillis(now);
    if (silent >= MAX_SILENCE_MILLIS) {
      traffic.silences.increment();
      log.info(Messages.silent(channel.remoteAddress(), silent));
      var unused = channel.close();
    } else if (silent < PING_AFTER_MILLIS) {
      pinged.remove(channel);
    } else if (pings && pinged.add(channel)) {
      var unused = channel.writeAndFlush(PeerMessage.getDefaultInstance());
    }
  }

  private void remove(Channel channel) {
    pingsByChannel.remove(channel);
    pinged.remove(channel);
  }
}
