package org.hemlockpick.cell;

import java.util.Comparator;

/** Defines the order in which ready steps are placed. */
interface PriorityPolicy {
  /**
   * Returns the rank of a step; lower ranks go first.
   *
   * @param step step that is ready
   * @param isRestart whether its tasks are long-running and have lost their runs
   * @param queue queue of its job
   * @param wallMillis time on the wall clock
   */
  Rank rank(StepRun step, boolean isRestart, Queue queue, long wallMillis);

  /**
   * Returns the rank of one task of a job of which nothing has run for long; lower ranks go first.
   *
   * @param sinceMillis time on the monotonic clock since which the task could have run
   */
  Rank rankOfStarved(long sinceMillis);

  /**
   * A rank.
   *
   * @param group priority group; all steps of a lower group go first
   * @param latestStartMillis latest time on the wall clock at which the step can start and be on
   *     time
   * @param inTime whether the step can still be on time
   */
  record Rank(int group, long latestStartMillis, boolean inTime) implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
        Comparator.comparingInt(Rank::group).thenComparingLong(Rank::latestStartMillis);

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }
  }
}
