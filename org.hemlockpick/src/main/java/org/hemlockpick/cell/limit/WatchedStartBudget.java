package org.hemlockpick.cell.limit;

/**
 * Limits the watched starts of a job whose ends are not known, each of which is stored in the job's
 * row. Without a limit, the row of a large job in doubt exceeds the size that the table service
 * takes, and no task of the job is started again.
 */
public final class WatchedStartBudget {
  /**
   * Maximum number of watched starts of a job: at up to 60 bytes each they fill less than half of a
   * row of 65,536 bytes, which has to hold the job's checkpoints too.
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
