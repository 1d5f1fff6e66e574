/** Batch jobs: shards, assignment of tasks to workers and their journal. */
@NullMarked
package org.hemlockpick.internal.batch;

import org.jspecify.annotations.NullMarked;
