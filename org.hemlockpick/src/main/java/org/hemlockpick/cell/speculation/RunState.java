package org.hemlockpick.cell.speculation;

/**
 * What a {@link CopyPolicy} sees of the only run of a task.
 *
 * @param task index of the task in its step
 * @param elapsedMillis time since its start was ordered
 * @param progressPercent progress that its worker last reported; 0 if it reported none
 * @param reportAgeMillis time since that report; if there is none, since the start
 * @param silent whether its worker does not answer, so that it may be lost
 * @param resumable whether a copy goes on from a checkpoint
 */
public record RunState(
    int task,
    long elapsedMillis,
    int progressPercent,
    long reportAgeMillis,
    boolean silent,
    boolean resumable) {

  private static final int WHOLE_PERCENT = 100;

  /**
   * Returns the expected time until it is done, in milliseconds, from its progress at the time of
   * its last report. It is 0 if it should be done already, and the maximum value if it has made no
   * progress or its worker is silent.
   *
   * @param expectedMillis expected run time, used until its first report
   */
  long remainingMillis(long expectedMillis) {
    if (silent) {
      return Long.MAX_VALUE;
    }
    long reportedAt = elapsedMillis - reportAgeMillis;
    if (reportedAt <= 0) {
      return Math.max(0, expectedMillis - elapsedMillis);
    }
    if (progressPercent == 0) {
      // Its first percent may be near: it has taken at least this long for less than that.
      return WHOLE_PERCENT * reportedAt - elapsedMillis;
    }
    return Math.max(0, reportedAt * WHOLE_PERCENT / progressPercent - elapsedMillis);
  }

  /** Returns the expected run time of a copy, in milliseconds. */
  long copyMillis(long expectedMillis) {
    int left = resumable ? WHOLE_PERCENT - progressPercent : WHOLE_PERCENT;
    return expectedMillis * left / WHOLE_PERCENT;
  }
}
