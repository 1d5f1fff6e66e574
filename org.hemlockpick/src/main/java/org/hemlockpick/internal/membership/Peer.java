package org.hemlockpick.internal.membership;

import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.Heartbeat;

/** Holds what is known of another entry instance. */
public final class Peer {
  private final RosterMember seat;
  private long incarnation;
  private long lastHeard = Long.MIN_VALUE;
  private long aliveSince;
  private Heartbeat heartbeat = Heartbeat.getDefaultInstance();

  Peer(RosterMember seat) {
    this.seat = seat;
  }

  /** Returns the name of the entry instance. */
  public String name() {
    return seat.name();
  }

  /** Returns the availability zone of the entry instance. */
  public String zone() {
    return seat.zone();
  }

  /** Returns the newest incarnation heard of; 0 when nothing was heard yet. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the newest heartbeat; the default instance when there was none. */
  public Heartbeat heartbeat() {
    return heartbeat;
  }

  /** Returns since when the peer has been heard of without a gap, in milliseconds. */
  public long aliveSince() {
    return aliveSince;
  }

  boolean isHeardSince(long time) {
    return lastHeard >= time;
  }

  /** Returns false when the message comes from an incarnation that was replaced. */
  boolean recordMessage(long incarnation, long now, boolean wasAlive) {
    if (incarnation < this.incarnation) {
      return false;
    }
    if (incarnation > this.incarnation) {
      this.incarnation = incarnation;
      heartbeat = Heartbeat.getDefaultInstance();
      wasAlive = false;
    }
    if (!wasAlive) {
      aliveSince = now;
    }
    lastHeard = now;
    return true;
  }

  void setHeartbeat(Heartbeat heartbeat) {
    this.heartbeat = heartbeat;
  }
}
