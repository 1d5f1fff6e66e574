package org.hemlockpick.internal.membership;

import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.Heartbeat;

/** Holds the state of another entry instance as far as it is known here. */
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

  /** Returns the newest incarnation that sent a message; 0 before the first message. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the newest heartbeat of that incarnation; the default instance if there was none. */
  public Heartbeat heartbeat() {
    return heartbeat;
  }

  /**
   * Returns the time since which the peer has been alive without interruption, in milliseconds on
   * the loop's clock.
   */
  public long aliveSince() {
    return aliveSince;
  }

  boolean isHeardSince(long time) {
    return lastHeard >= time;
  }

  /**
   * Records the arrival of a message. Returns false, and records nothing, when the message comes
   * from an incarnation that was replaced.
   */
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
