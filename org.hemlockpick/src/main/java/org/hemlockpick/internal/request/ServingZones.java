package org.hemlockpick.internal.request;

import org.hemlockpick.internal.evacuation.EvacuationTable;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;

/** Decides which availability zones may serve new requests while some are evacuated. */
final class ServingZones {
  private final String ownZone;
  private final PeerTable peers;
  private final EvacuationTable evacuations;

  ServingZones(InstanceSettings settings, PeerTable peers, EvacuationTable evacuations) {
    this.ownZone = settings.zone();
    this.peers = peers;
    this.evacuations = evacuations;
  }

  /** Returns whether the workers of this availability zone may serve new requests. */
  boolean includeOwn() {
    return !evacuations.isEvacuated(ownZone);
  }

  /** Returns whether the workers in the availability zone of a peer may serve new requests. */
  boolean includeZoneOf(Peer peer) {
    return !evacuations.isEvacuated(peer.zone());
  }

  /** Returns whether this zone and the zones of all live peers are evacuated. */
  boolean areNone(long now) {
    return !includeOwn() && peers.alive(now).stream().noneMatch(this::includeZoneOf);
  }
}
