package org.hemlockpick.contract;

import java.time.Duration;

/**
 * Holds the terms of a contract for batch work.
 *
 * @param tasks maximum number of tasks that run at once over all availability zones
 * @param jobTasks maximum number of tasks of one job
 * @param deadline deadline of a job that names none, measured from its submission
 * @param urgent whether jobs may be submitted as urgent
 */
public record BatchTerms(int tasks, int jobTasks, Duration deadline, boolean urgent) {

  /** Returns the terms of a contract without batch work. */
  public static BatchTerms none() {
    return new BatchTerms(0, 0, Duration.ZERO, false);
  }
}
