package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.hemlockpick.cell.LoopClock;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RateLimitedDecisionLogTest {
  private static final int BURST = 5_000;

  private final FakeClock clock = new FakeClock();
  private final LineHandler handler = new LineHandler();
  private final Logger logger = LogContext.getLogContext().getLogger("org.hemlockpick.decision");
  private final RateLimitedDecisionLog lines = new RateLimitedDecisionLog("edge-kgn-a-1", clock);

  @BeforeEach
  void attach() {
    logger.addHandler(handler);
    logger.setUseParentHandlers(false);
  }

  @AfterEach
  void detach() {
    logger.removeHandler(handler);
    logger.setUseParentHandlers(true);
  }

  /** On a day of the bench, lines on runs suppressed those on the load and the lease. */
  @Test
  void runLinesDoNotSuppressCellStateLines() {
    decide("end", BURST);
    decide("load", 1);
    decide("lease", 1);
    decide("wait", 1);
    assertEquals(LineClass.RUN.maxLinesPerSecond(), count("end"));
    assertEquals(1, count("load"));
    assertEquals(1, count("lease"));
    assertEquals(1, count("wait"));
  }

  /** When many workers are lost at once, a line is logged for each of them. */
  @Test
  void workerLinesDoNotSuppressCellStateLines() {
    decide("worker", BURST);
    decide("cell", 1);
    assertEquals(LineClass.WORKER.maxLinesPerSecond(), count("worker"));
    assertEquals(1, count("cell"));
  }

  @Test
  void suppressedLinesOfEachClassAreCountedInTheNextSecond() {
    decide("start", LineClass.RUN.maxLinesPerSecond() + 7);
    decide("call", LineClass.WORKER.maxLinesPerSecond() + 3);
    clock.millis += 1_000;
    decide("load", 1);
    assertEquals(List.of("3 of workers", "7 of single jobs and runs"), reasons("log"));
    clock.millis += 1_000;
    decide("start", 1);
    assertEquals(2, count("log"));
    assertEquals(LineClass.RUN.maxLinesPerSecond() + 1, count("start"));
  }

  private void decide(String kind, int times) {
    for (int i = 0; i < times; i++) {
      lines.decided(kind, "subject", "outcome", "reason");
    }
  }

  private int count(String kind) {
    return reasons(kind).size();
  }

  private List<String> reasons(String kind) {
    return handler.lines.stream()
        .filter(line -> line.kind().equals(kind))
        .map(RateLimitedDecisionLog.Line::reason)
        .toList();
  }

  private static final class FakeClock implements LoopClock {
    long millis = 5_000;

    @Override
    public long monotonicMillis() {
      return millis;
    }

    @Override
    public long wallMillis() {
      return millis;
    }
  }

  private static final class LineHandler extends Handler {
    final List<RateLimitedDecisionLog.Line> lines = new ArrayList<>();

    @Override
    public void publish(LogRecord entry) {
      lines.add((RateLimitedDecisionLog.Line) entry.getParameters()[0]);
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
