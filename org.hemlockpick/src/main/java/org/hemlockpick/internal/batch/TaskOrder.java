package org.hemlockpick.internal.batch;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Decides which job gets the next assignment. */
interface TaskOrder {

  /**
   * Chooses a job.
   *
   * @param waiting jobs that have queued tasks
   * @param units units used by running tasks, and limits, of the customers
   * @param now time in milliseconds on the loop's clock
   * @return the job whose first queued task is next; null when there are no jobs
   */
  @Nullable Job next(Collection<Job> waiting, CustomerTaskUnits units, long now);
}
