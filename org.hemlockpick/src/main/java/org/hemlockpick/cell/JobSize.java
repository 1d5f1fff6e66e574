package org.hemlockpick.cell;

import com.google.common.math.LongMath;

/**
 * Limits the size of a job. The holder keeps an object for each task of the occurrences that have
 * begun, and looks at each open one in every planning pass.
 */
final class JobSize {
  /**
   * Maximum number of tasks of a job, over all its steps and occurrences: as many as the largest
   * cell runs at a time.
   */
  static final long MAX_TASKS = 9_000;

  private JobSize() {}

  /**
   * Returns the number of tasks of all steps and occurrences; the maximum value if it is higher.
   */
  static long tasks(Submission job) {
    long perOccurrence = job.steps().stream().mapToLong(Step::count).sum();
    return LongMath.saturatedMultiply(perOccurrence, job.occurrences());
  }

  static boolean isTooLarge(Submission job) {
    return tasks(job) > MAX_TASKS;
  }
}
