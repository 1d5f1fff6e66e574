package org.hemlockpick.cell;

import java.util.Comparator;

/** Says in which order steps that are ready get room. */
interface PriorityPolicy {
  /**
   * Returns the rank of a step; lower ranks go first.
   *
   * @param step step that is ready
   * @param isRestart whether its tasks last and have lost their runs
   * @param queue queue of its job
   * @param wallMillis time of day
   */
  Rank rank(StepRun step, boolean isRestart, Queue queue, long wallMillis);

  /**
   * A rank.
   *
   * @param group what goes first as a whole
   * @param latestStartMillis latest time of day at which the step can start in time
   */
  record Rank(int group, long latestStartMillis) implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
        Comparator.comparingInt(Rank::group).thenComparingLong(Rank::latestStartMillis);

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }
  }
}
