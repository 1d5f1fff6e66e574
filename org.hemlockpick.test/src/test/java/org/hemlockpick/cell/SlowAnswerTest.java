package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Workers that are sound, and whose answers are under way for long. */
class SlowAnswerTest {
  private static final long SETTLED = 12_000;

  private final CellWorld world = new CellWorld(20261204, 2, 4);

  /**
   * Answers that took longer than 600 ms, as the link was full, were thrown away: what had run to
   * its end was started a second time, and its workers counted as silent for good.
   */
  @Test
  void taskRunsOnceThoughAnswersTakeNineTenthsOfASecond() {
    world.time.runFor(SETTLED);
    slowDown(900);
    world.submit(0, "a", step(4));
    world.time.runFor(20_000);
    assertEquals(4, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.breaches);
    assertEquals(List.of(), world.unfinished());
    assertEquals(0, notReached(), () -> String.join("\n", world.log));
  }

  /** The same where a report takes longer than an order may: the worker stays in use. */
  @Test
  void workerWhoseReportsTakeLongerThanAnOrderMayIsNotSilent() {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLED);
    world.submit(0, "a", step(4));
    world.time.runFor(3_000);
    slowDown(1_100);
    world.time.runFor(10_000);
    assertEquals(0, notReached(), () -> String.join("\n", world.log));
    assertEquals(4, world.workers.starts.size());
    assertEquals(List.of(), world.workers.breaches);
  }

  private void slowDown(long answerMillis) {
    for (int i = 0; i < 4; i++) {
      world.workers.get("w" + i).answerMillis = answerMillis;
    }
  }

  private long notReached() {
    return world.log.stream().filter(line -> line.contains(" not reached ")).count();
  }
}
