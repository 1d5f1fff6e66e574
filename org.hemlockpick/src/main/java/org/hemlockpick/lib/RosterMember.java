package org.hemlockpick.lib;

/**
 * Names one entry instance of the roster. A replacement takes over the seat of its predecessor.
 *
 * @param name name of the entry instance, unique over all availability zones
 * @param zone availability zone of the entry instance
 */
public record RosterMember(String name, String zone) {}
