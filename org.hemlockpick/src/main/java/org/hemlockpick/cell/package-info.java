/**
 * Scheduling of jobs on the workers of a cell by the one entry instance that holds the cell's
 * lease.
 *
 * <p>All of it runs on one thread. It has no sockets, no threads and no clock of its own; {@link
 * TableService}, {@link WorkerPort}, {@link LoopClock} and {@link DecisionLog} are passed in.
 */
@NullMarked
package org.hemlockpick.cell;

import org.jspecify.annotations.NullMarked;
