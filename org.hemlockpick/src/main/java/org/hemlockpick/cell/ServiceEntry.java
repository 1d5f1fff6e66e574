package org.hemlockpick.cell;

/**
 * A service in the configuration.
 *
 * @param name name of the service
 * @param enforcesCapacity whether its workers refuse what does not fit
 * @param standby whether its machines are off
 */
public record ServiceEntry(String name, boolean enforcesCapacity, boolean standby) {}
