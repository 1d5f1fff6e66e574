package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests crashes of workers that no report precedes, as the holder has not called them since. */
class CrashBeforeReportTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final long FINISH_MILLIS = 60_000;

  /** Starts after which the task must have been given up. */
  private static final int MAX_STARTS = 3;

  private static final int WORKERS = 12;

  private final CellWorld world = new CellWorld(20261206, 3, WORKERS);
  private final TaskId guilty = new TaskId("g", 0, 0, 0);

  /**
   * Guards against a start that is not blamed, as its worker crashed between the reply to the order
   * and the next call: a process under load calls it later than its task takes to crash it.
   */
  @ParameterizedTest
  @CsvSource({
    "10, 1, true",
    "50, 10, true",
    "50, 10, false",
    "150, 10, true",
    "150, 10, false",
    "400, 10, true",
    "400, 60, false",
  })
  void crashAfterTheReplyToAStartIsCounted(
      long tickMillis, long crashMillis, boolean otherIdentifier) {
    world.workers.returnsUnderOtherIdentifier = otherIdentifier;
    world.workers.crashAfterMillis.put(guilty, crashMillis);
    world.nodes.forEach(node -> node.incarnation().tickMillis = tickMillis);
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "g", CellWorld.step(3));
    world.time.runFor(FINISH_MILLIS);
    long starts = world.workers.starts.stream().filter(guilty::equals).count();
    String log = String.join("\n", world.log);
    assertTrue(starts <= MAX_STARTS, () -> starts + " starts\n" + log);
    assertEquals(JobState.FAILED, world.state("g"), () -> log);
  }
}
