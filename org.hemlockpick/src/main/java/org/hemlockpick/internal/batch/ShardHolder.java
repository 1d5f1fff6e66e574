package org.hemlockpick.internal.batch;

/**
 * Names one start of an entry instance as the rows of shards do.
 *
 * @param name name of the entry instance
 * @param incarnation number of its start
 */
record ShardHolder(String name, long incarnation) {}
