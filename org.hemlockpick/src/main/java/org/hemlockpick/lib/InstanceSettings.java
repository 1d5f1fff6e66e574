package org.hemlockpick.lib;

import java.util.List;

/**
 * Holds the settings that identify one entry instance and its peers.
 *
 * @param name name of this entry instance; one of the roster
 * @param zone availability zone of this entry instance
 * @param roster all entry instances of all availability zones, including this one
 * @param timing intervals and time limits
 */
public record InstanceSettings(String name, String zone, List<RosterMember> roster, Timing timing) {

  /**
   * Checks that the roster contains this entry instance.
   *
   * @throws IllegalArgumentException if the roster does not contain the name with this zone
   */
  public InstanceSettings {
    roster = List.copyOf(roster);
    if (!roster.contains(new RosterMember(name, zone))) {
      throw new IllegalArgumentException(
          "the roster does not contain " + name + " in zone " + zone);
    }
  }

  /** Returns the names of the other entry instances of this availability zone, in roster order. */
  public List<String> zonePeers() {
    return roster.stream()
        .filter(member -> member.zone().equals(zone) && !member.name().equals(name))
        .map(RosterMember::name)
        .toList();
  }

  /** Returns the names of all other entry instances, in roster order. */
  public List<String> peers() {
    return roster.stream().map(RosterMember::name).filter(peer -> !peer.equals(name)).toList();
  }
}
