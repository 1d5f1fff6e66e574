package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what the log reports of long-running tasks that do not run. */
class PendingTaskReporterTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final int WORKERS = 4;

  /** Number of tasks that fit on all workers. */
  private static final int TOTAL_CAPACITY = 16;

  private final CellWorld world = new CellWorld(20261204, 3, WORKERS);

  private static Step longRunning(int count, @Nullable String label, int maxPerWorker) {
    return CellWorld.step(count, false, label, maxPerWorker, true, List.of());
  }

  @BeforeEach
  void settle() {
    world.workers.runMillis = 600_000;
    world.time.runFor(SETTLE_MILLIS);
  }

  /** Guards against an incident whose log did not show why a task was not placed for a second. */
  @Test
  void taskWithoutCapacityIsReportedOnceASecond() {
    world.submit(0, "a", longRunning(TOTAL_CAPACITY, null, 0));
    world.time.runFor(500);
    world.submit(0, "l", longRunning(1, null, 0));
    world.time.runFor(5_500);
    List<String> lines = lines(" wait l\\.0\\.0\\.0 no worker ");
    assertTrue(lines.size() >= 4 && lines.size() <= 5, () -> String.join("\n", lines));
    String wanted =
        "0 workers open to it, 4 no room, largest room without: 0 mcpu 16000 MB at w0,"
            + " wants 2000 mcpu 4000 MB";
    assertTrue(lines.get(0).contains(wanted), lines.get(0));
  }

  @Test
  void workersAreCountedByIneligibleReason() {
    world.submit(0, "l", longRunning(1, "none", 0));
    world.submit(0, "m", longRunning(WORKERS + 1, null, 1));
    world.time.runFor(3_500);
    assertFalse(lines(" wait l\\.0\\.0\\.0 no worker .* 0 workers.*, 4 other label,").isEmpty());
    assertFalse(
        lines(" wait m\\.0\\.0\\.\\d no worker .* 0 workers.*, 4 at the most per worker,")
            .isEmpty());
  }

  /** A holder that cannot know whether a run has ended does not start its task again. */
  @Test
  void runAtAnUnreachableWorkerIsReported() {
    world.submit(0, "l", longRunning(WORKERS, null, 1));
    world.time.runFor(1_000);
    assertEquals(List.of(), lines(" wait l"));
    world.workers.get("w2").disconnected = true;
    world.time.runFor(4_500);
    assertFalse(
        lines(
                " wait l\\.0\\.0\\.\\d last run may go on .*attempt \\d+ RUNNING at w2,"
                    + " worker silent, its lease may last [1-9]\\d* ms")
            .isEmpty());
  }

  /** Guards against a log that does not show whether workers are reserved for other tasks. */
  @Test
  void taskForWhichNoWorkerIsReservedIsReported() {
    world.submit(0, "l", longRunning(WORKERS, null, 1));
    world.time.runFor(1_000);
    world.workers.get("w2").disconnected = true;
    world.store.remove("workers", "w2");
    world.time.runFor(9_000);
    assertFalse(
        lines(
                " wait l\\.0\\.0\\.\\d no worker .*3 at the most per worker,"
                    + " none reserved for it, 0 for others, 0 could hold it, wants")
            .isEmpty(),
        () -> String.join("\n", lines(" wait l")));
  }

  /** A successor starts no task that may still run at a worker which does not answer it. */
  @Test
  void taskBlockedByATakeoverIsReported() {
    world.submit(0, "l", longRunning(WORKERS, null, 1));
    world.time.runFor(1_000);
    world.holder().kill();
    world.workers.get("w2").disconnected = true;
    world.time.runFor(8_000);
    assertFalse(
        lines(
                " wait l\\.0\\.0\\.\\d blocked by the take-over .*1 workers not accounted for,"
                    + " 1 of them not silent")
            .isEmpty());
  }

  @Test
  void logLinesForManyPendingTasksAreBounded() {
    world.submit(0, "l", longRunning(TOTAL_CAPACITY + 25, null, 0));
    world.time.runFor(1_900);
    assertEquals(10, lines(" wait l\\.0\\.0\\.\\d+ no worker ").size());
    assertEquals(1, lines(" wait c0 tasks wait \\(15 more tasks that last\\)").size());
  }

  private List<String> lines(String pattern) {
    Pattern wanted = Pattern.compile(pattern);
    return world.log.stream().filter(line -> wanted.matcher(line).find()).toList();
  }
}
