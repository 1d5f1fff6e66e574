package org.hemlockpick.cell.limit;

/**
 * Limits the watched starts of a job whose ends are not known, each of which is stored in the job's
 * row. Without a limit, each start of a large job in doubt would write the starts of thousands of
 * tasks again.
 */
public final class WatchedStartBudget {
  /**
   * Maximum number of watched starts of a job: at up to 60 bytes each they fill less than half of a
   * row of 65,536 bytes, so that they alone do not make the job's row compact.
   */
  public static final int MAX_STARTS = 500;

  private int open;

  /**
   * Creates the budget of a job.
   *
   * @param open number of its watched starts whose ends are not known
   */
  public WatchedStartBudget(int open) {
    this.open = open;
  }

  /**
   * Returns whether some tasks may be started together, and counts their starts. More than the
   * maximum may be started while no other start is open.
   *
   * @param watched number of them whose starts are watched
   */
  public boolean admit(int watched) {
    if (watched > 0 && open > 0 && open + watched > MAX_STARTS) {
      return false;
    }
    open += watched;
    return true;
  }
}
