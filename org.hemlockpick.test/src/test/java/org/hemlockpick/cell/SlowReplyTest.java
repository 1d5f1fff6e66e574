package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests healthy workers whose replies are in flight for a long time. */
class SlowReplyTest {
  private static final long SETTLE_MILLIS = 12_000;

  private final CellWorld world = new CellWorld(20261204, 2, 4);

  /**
   * Guards against discarding replies that took longer than 600 ms on a saturated link: completed
   * tasks were started a second time, and their workers counted as unreachable for good.
   */
  @Test
  void taskRunsOnceWhenRepliesTake900Millis() {
    world.time.runFor(SETTLE_MILLIS);
    slowDown(900);
    world.submit(0, "a", step(4));
    world.time.runFor(20_000);
    assertEquals(4, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations);
    assertEquals(List.of(), world.unfinished());
  }

  /** The same with reports that take longer still: they are read, and no lease expires. */
  @Test
  void runsContinueWhenReportsTake1500Millis() {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(4));
    world.time.runFor(3_000);
    slowDown(1_500);
    world.time.runFor(30_000);
    assertEquals(4, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations);
    slowDown(2);
    assertEquals(List.of(), world.unfinished());
  }

  private void slowDown(long replyMillis) {
    for (int i = 0; i < 4; i++) {
      world.workers.get("w" + i).replyMillis = replyMillis;
    }
  }
}
