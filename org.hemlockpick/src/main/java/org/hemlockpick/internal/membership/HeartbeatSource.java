package org.hemlockpick.internal.membership;

import org.hemlockpick.proto.Heartbeat;

/** Builds the heartbeats in which this entry instance reports its state to its peers. */
public interface HeartbeatSource {

  /**
   * Builds a heartbeat.
   *
   * @param withinZone whether the receivers are in this availability zone; only they need the list
   *     of owned workers
   * @return the heartbeat to send
   */
  Heartbeat heartbeat(boolean withinZone);
}
