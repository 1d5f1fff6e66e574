package org.hemlockpick.internal.membership;

import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.PeerMessage;

/** Sends heartbeats and tracks which entry instances are alive. */
public final class MembershipSystem implements LoopSystem {
  /** Factor by which the heartbeat interval to other availability zones is longer. */
  static final int REMOTE_INTERVAL_FACTOR = 4;

  /** Minimum interval between two heartbeats of which none follows a release, in milliseconds. */
  private static final long MIN_INTERVAL_MILLIS = 50;

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final PeerTable peers;
  private final HeartbeatSource source;
  private long nextHeartbeat = Long.MIN_VALUE;
  private long lastHeartbeat;
  private int heartbeatRounds;

  /** Creates the system; the first heartbeat goes out in the first tick. */
  public MembershipSystem(
      InstanceSettings settings, Outbox outbox, PeerTable peers, HeartbeatSource source) {
    this.settings = settings;
    this.outbox = outbox;
    this.peers = peers;
    this.source = source;
  }

  /**
   * Records that a message of a peer was received.
   *
   * @return false when the message must be dropped: its sender is not in the roster or was replaced
   *     by a newer incarnation, or it is addressed to another receiver
   */
  public boolean on(PeerMessage message) {
    Peer peer = peers.find(message.getFrom());
    if (peer == null || !message.getTo().equals(settings.name())) {
      return false;
    }
    long now = outbox.now();
    boolean wasAlive = peers.isAlive(peer, now);
    if (!peer.recordMessage(message.getIncarnation(), now, wasAlive)) {
      return false;
    }
    if (!wasAlive) {
      outbox.event("peer-alive", peer.name(), "incarnation " + peer.incarnation());
    }
    if (message.hasHeartbeat()) {
      peer.setHeartbeat(message.getHeartbeat());
    }
    return true;
  }

  @Override
  public void run(long now) {
    if (now < nextHeartbeat) {
      return;
    }
    lastHeartbeat = now;
    nextHeartbeat = now + settings.timing().heartbeat().toMillis();
    sendHeartbeats(heartbeatRounds % REMOTE_INTERVAL_FACTOR == 0);
    heartbeatRounds++;
  }

  /** Makes the next heartbeat due, so that what has changed in this tick is known soon. */
  public void sendSoon() {
    nextHeartbeat = Math.min(nextHeartbeat, lastHeartbeat + MIN_INTERVAL_MILLIS);
  }

  /** Sends a heartbeat to every peer at once, without waiting for the interval. */
  public void sendNow() {
    sendHeartbeats(true);
  }

  private void sendHeartbeats(boolean remoteToo) {
    Heartbeat local = source.heartbeat(true);
    Heartbeat remote = source.heartbeat(false);
    for (Peer peer : peers.all()) {
      boolean inZone = peer.zone().equals(settings.zone());
      if (inZone || remoteToo) {
        outbox.send(peer.name(), PeerMessage.newBuilder().setHeartbeat(inZone ? local : remote));
      }
    }
  }
}
