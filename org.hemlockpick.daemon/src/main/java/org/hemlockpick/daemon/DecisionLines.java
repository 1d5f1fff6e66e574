package org.hemlockpick.daemon;

import java.util.concurrent.TimeUnit;
import org.hemlockpick.cell.DecisionLog;
import org.jboss.logging.Logger;

/**
 * Writes decisions to the log as one JSON object each. At most {@value #MAX_LINES_A_SECOND} lines a
 * second are written; one line says how many were left out.
 */
public final class DecisionLines implements DecisionLog {
  static final int MAX_LINES_A_SECOND = 600;

  private static final Logger log = Logger.getLogger("org.hemlockpick.decision");

  private final String instance;
  private long second;
  private int written;
  private int leftOut;

  /** Creates a log of the decisions of an entry instance. */
  public DecisionLines(String instance) {
    this.instance = instance;
  }

  @Override
  public synchronized void decided(String kind, String subject, String outcome, String reason) {
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (now != second) {
      second = now;
      written = 0;
      if (leftOut > 0) {
        write("log", instance, "lines left out", Integer.toString(leftOut));
        leftOut = 0;
      }
    }
    if (written >= MAX_LINES_A_SECOND) {
      leftOut++;
      return;
    }
    written++;
    write(kind, subject, outcome, reason);
  }

  private void write(String kind, String subject, String outcome, String reason) {
    log.infov("{0}", new Line(instance, kind, subject, outcome, reason));
  }

  /** Shows a decision as a short text; the formatter writes its fields. */
  record Line(String instance, String kind, String subject, String outcome, String reason) {
    @Override
    public String toString() {
      return kind + " " + subject + " " + outcome;
    }
  }
}
