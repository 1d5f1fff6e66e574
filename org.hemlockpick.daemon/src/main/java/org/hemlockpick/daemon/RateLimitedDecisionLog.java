package org.hemlockpick.daemon;

import java.util.EnumMap;
import java.util.Map;
import org.hemlockpick.cell.DecisionLog;
import org.hemlockpick.cell.LoopClock;
import org.jboss.logging.Logger;

/**
 * Logs each decision as one JSON object. Lines about single runs, about workers and about the state
 * of the cell have separate limits, so that none crowds out another; once a second a line reports
 * how many of each were omitted.
 */
public final class RateLimitedDecisionLog implements DecisionLog {
  private static final long SECOND_MILLIS = 1_000;

  /** Placeholder for the fencing token while the cell is not held. */
  private static final long NO_TOKEN = 0;

  private static final Logger log = Logger.getLogger("org.hemlockpick.decision");

  private final String instance;
  private final LoopClock clock;
  private final Map<LineClass, LineCount> counts = new EnumMap<>(LineClass.class);
  private long currentSecond = Long.MIN_VALUE;

  /**
   * Creates a decision log for one process of an entry instance.
   *
   * @param instance name of the entry instance
   * @param clock monotonic and wall clock of the process
   */
  public RateLimitedDecisionLog(String instance, LoopClock clock) {
    this.instance = instance;
    this.clock = clock;
  }

  @Override
  public void decided(String kind, String subject, String outcome, String reason) {
    decided(NO_TOKEN, kind, subject, outcome, reason);
  }

  @Override
  public DecisionLog withToken(long token) {
    return (kind, subject, outcome, reason) -> decided(token, kind, subject, outcome, reason);
  }

  private synchronized void decided(
      long token, String kind, String subject, String outcome, String reason) {
    long now = Math.floorDiv(clock.monotonicMillis(), SECOND_MILLIS);
    if (now != currentSecond) {
      currentSecond = now;
      counts.forEach(this::beginSecond);
    }
    LineClass lineClass = LineClass.of(kind);
    LineCount count = counts.computeIfAbsent(lineClass, key -> new LineCount());
    if (count.written >= lineClass.maxLinesPerSecond()) {
      count.omitted++;
      return;
    }
    count.written++;
    write(token, kind, subject, outcome, reason);
  }

  private void beginSecond(LineClass lineClass, LineCount count) {
    if (count.omitted > 0) {
      String number = count.omitted + " of " + lineClass.text();
      write(NO_TOKEN, "log", instance, "lines left out", number);
    }
    count.written = 0;
    count.omitted = 0;
  }

  private void write(long token, String kind, String subject, String outcome, String reason) {
    long monotonicMillis = clock.monotonicMillis();
    long wallMillis = clock.wallMillis();
    log.infov("{0}", new Line(token, monotonicMillis, wallMillis, kind, subject, outcome, reason));
  }

  /** Numbers of written and omitted lines of one class in the current second. */
  private static final class LineCount {
    private int written;
    private int omitted;
  }

  /** A decision with a short text; the formatter writes its fields. */
  record Line(
      long token,
      long monotonicMillis,
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
