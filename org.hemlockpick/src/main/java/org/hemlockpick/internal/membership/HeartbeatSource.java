package org.hemlockpick.internal.membership;

import org.hemlockpick.proto.Heartbeat;

/** Fills in what this entry instance tells its peers about itself. */
public interface HeartbeatSource {

  /**
   * Builds a heartbeat.
   *
   * @param withinZone whether the receivers are of this availability zone and need the workers
   * @return the heartbeat to send
   */
  Heartbeat heartbeat(boolean withinZone);
}
