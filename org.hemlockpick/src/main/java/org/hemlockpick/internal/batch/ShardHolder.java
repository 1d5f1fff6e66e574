package org.hemlockpick.internal.batch;

/**
 * Identifies the holder of a shard: one incarnation of an entry instance.
 *
 * @param name name of the entry instance
 * @param incarnation number of its incarnation
 */
record ShardHolder(String name, long incarnation) {}
