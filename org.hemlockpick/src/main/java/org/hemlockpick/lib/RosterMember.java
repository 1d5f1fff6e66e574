package org.hemlockpick.lib;

/**
 * Identifies one entry instance of the roster. A replacement has the same identity as its
 * predecessor.
 *
 * @param name name of the entry instance, unique over all availability zones
 * @param zone availability zone of the entry instance
 */
public record RosterMember(String name, String zone) {}
