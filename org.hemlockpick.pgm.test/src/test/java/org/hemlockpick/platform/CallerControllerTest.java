package org.hemlockpick.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micronaut.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import org.hemlockpick.cell.CellMember;
import org.hemlockpick.cell.LoopClock;
import org.hemlockpick.daemon.CellProcessMetrics;
import org.hemlockpick.daemon.SystemClock;
import org.junit.jupiter.api.Test;

/** Tests how calls of callers are answered. */
class CallerControllerTest {
  private static final int GATEWAY_TIMEOUT = 504;

  /** Guards against a caller waiting for its deadline because the handling of its call failed. */
  @Test
  void callWhoseHandlingFailsIsAnsweredAtOnce() {
    FailingEntry entry = new FailingEntry();
    var answer = new CallerController(entry).state(HttpRequest.GET("/jobs/1"), "jobs/1");
    Runnable action = entry.actions.get(0);
    assertThrows(IllegalStateException.class, action::run);
    assertTrue(answer.isDone());
    assertEquals(GATEWAY_TIMEOUT, answer.join().code());
  }

  /** An entry whose instance cannot be used. */
  private static final class FailingEntry implements EntryProcess {
    private final List<Runnable> actions = new ArrayList<>();
    private final CellProcessMetrics metrics = new CellProcessMetrics();

    @Override
    public CellMember node() {
      throw new IllegalStateException("broken");
    }

    @Override
    public Executor loop() {
      return actions::add;
    }

    @Override
    public LoopClock clock() {
      return new SystemClock();
    }

    @Override
    public CellProcessMetrics metrics() {
      return metrics;
    }

    @Override
    public boolean isReady() {
      return true;
    }
  }
}
