package org.hemlockpick.cell;

/**
 * A service in the configuration.
 *
 * @param name name of the service
 * @param enforcesCapacity whether its workers refuse tasks that exceed their free capacity
 * @param standby whether its machines are switched off
 */
public record ServiceEntry(String name, boolean enforcesCapacity, boolean standby) {}
