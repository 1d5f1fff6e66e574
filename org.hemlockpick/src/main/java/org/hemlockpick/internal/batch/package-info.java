/** Batch jobs: shards and their journal, and the assignment of tasks to workers. */
@NullMarked
package org.hemlockpick.internal.batch;

import org.jspecify.annotations.NullMarked;
