package org.hemlockpick.internal.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.jspecify.annotations.Nullable;

/** Holds all entry instances of the roster except this one. */
public final class PeerTable {
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private final InstanceSettings settings;

  /** Creates the table; no peer is alive yet. */
  public PeerTable(InstanceSettings settings) {
    this.settings = settings;
    for (RosterMember seat : settings.roster()) {
      if (!seat.name().equals(settings.name())) {
        peers.put(seat.name(), new Peer(seat));
      }
    }
  }

  /** Returns the peer with this name, or null when the roster has none. */
  public @Nullable Peer find(String name) {
    return peers.get(name);
  }

  /** Returns all peers in roster order. */
  public Collection<Peer> all() {
    return Collections.unmodifiableCollection(peers.values());
  }

  /** Returns the peers of this availability zone that are alive, in roster order. */
  public List<Peer> aliveInZone(long now) {
    return peers.values().stream()
        .filter(peer -> peer.zone().equals(settings.zone()) && isAlive(peer, now))
        .toList();
  }

  /** Returns the peers of all availability zones that are alive, in roster order. */
  public List<Peer> alive(long now) {
    return peers.values().stream().filter(peer -> isAlive(peer, now)).toList();
  }

  /** Returns whether a peer sent a message within the timeout for its availability zone. */
  public boolean isAlive(Peer peer, long now) {
    return peer.isHeardSince(now - timeoutMillis(peer));
  }

  private long timeoutMillis(Peer peer) {
    long timeout = settings.timing().peerTimeout().toMillis();
    return peer.zone().equals(settings.zone())
        ? timeout
        : timeout * MembershipSystem.REMOTE_INTERVAL_FACTOR;
  }
}
