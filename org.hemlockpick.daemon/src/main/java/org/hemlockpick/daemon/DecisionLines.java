package org.hemlockpick.daemon;

import java.util.concurrent.TimeUnit;
import org.hemlockpick.cell.DecisionLog;
import org.hemlockpick.cell.LoopClock;
import org.jboss.logging.Logger;

/**
 * Writes decisions to the log as one JSON object each. At most {@value #MAX_LINES_A_SECOND} lines a
 * second are written; one line says how many were left out.
 */
public final class DecisionLines implements DecisionLog {
  static final int MAX_LINES_A_SECOND = 600;

  /** Stands for no fencing token: the cell is not held. */
  private static final long NO_TOKEN = 0;

  private static final Logger log = Logger.getLogger("org.hemlockpick.decision");

  private final String instance;
  private final LoopClock clock;
  private long second;
  private int written;
  private int leftOut;

  /**
   * Creates a log of the decisions of one process of an entry instance.
   *
   * @param instance name of the entry instance
   * @param clock both clocks of the process
   */
  public DecisionLines(String instance, LoopClock clock) {
    this.instance = instance;
    this.clock = clock;
  }

  @Override
  public void decided(String kind, String subject, String outcome, String reason) {
    decided(NO_TOKEN, kind, subject, outcome, reason);
  }

  @Override
  public DecisionLog under(long token) {
    return (kind, subject, outcome, reason) -> decided(token, kind, subject, outcome, reason);
  }

  private synchronized void decided(
      long token, String kind, String subject, String outcome, String reason) {
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (now != second) {
      second = now;
      written = 0;
      if (leftOut > 0) {
        write(NO_TOKEN, "log", instance, "lines left out", Integer.toString(leftOut));
        leftOut = 0;
      }
    }
    if (written >= MAX_LINES_A_SECOND) {
      leftOut++;
      return;
    }
    written++;
    write(token, kind, subject, outcome, reason);
  }

  private void write(long token, String kind, String subject, String outcome, String reason) {
    long steady = clock.monotonicMillis();
    long wall = clock.wallMillis();
    log.infov("{0}", new Line(token, steady, wall, kind, subject, outcome, reason));
  }

  /** Shows a decision as a short text; the formatter writes its fields. */
  record Line(
      long token,
      long steadyMillis,
      long wallMillis,
      String kind,
      String subject,
      String outcome,
      String reason) {
    @Override
    public String toString() {
      return kind + " " + subject + " " + outcome;
    }
  }
}
