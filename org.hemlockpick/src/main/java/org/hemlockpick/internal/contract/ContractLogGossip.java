package org.hemlockpick.internal.contract;

import java.util.List;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.proto.ConfigPull;
import org.hemlockpick.proto.ConfigPush;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.PeerMessage;

/**
 * Exchanges the contract log between entry instances, also while the table service is unavailable.
 */
final class ContractLogGossip {
  /** Minimum time between two pulls that heartbeats trigger, in milliseconds. */
  private static final long PULL_INTERVAL_MILLIS = 200;

  private final ContractLog log;
  private final Outbox outbox;
  private final PeerTable peers;
  private long nextPullAt = Long.MIN_VALUE;

  ContractLogGossip(ContractLog log, Outbox outbox, PeerTable peers) {
    this.log = log;
    this.outbox = outbox;
    this.peers = peers;
  }

  void onHeartbeat(String peer, Heartbeat heartbeat) {
    if (heartbeat.getConfigVersion() > log.version() && outbox.now() >= nextPullAt) {
      pull(peer);
    }
  }

  void onPull(String peer, ConfigPull pull) {
    List<ContractRecord> page = log.after(pull.getKnownVersion());
    if (page.isEmpty()) {
      return;
    }
    ConfigPush.Builder push = ConfigPush.newBuilder().addAllRecords(page);
    outbox.send(peer, PeerMessage.newBuilder().setConfigPush(push));
  }

  /** Continues to pull from a peer whose last answer was new but incomplete. */
  void pullRest(String name) {
    Peer peer = peers.find(name);
    if (peer != null && peer.heartbeat().getConfigVersion() > log.version()) {
      pull(name);
    }
  }

  private void pull(String peer) {
    nextPullAt = outbox.now() + PULL_INTERVAL_MILLIS;
    ConfigPull.Builder pull = ConfigPull.newBuilder().setKnownVersion(log.version());
    outbox.send(peer, PeerMessage.newBuilder().setConfigPull(pull));
  }
}
