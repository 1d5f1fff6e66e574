package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what an entry instance of a cell counts and measures. */
class CellMetricsTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final int WORKERS = 4;

  /** Number of tasks that fit on all workers. */
  private static final int TOTAL_CAPACITY = 16;

  private static final int MAX_LOGGED = 10;

  private final CellWorld world = new CellWorld(20261204, 3, WORKERS);

  private static Step longRunning(int count, @Nullable String label, int maxPerWorker) {
    return CellWorld.step(count, false, label, maxPerWorker, true, List.of());
  }

  @BeforeEach
  void settle() {
    world.workers.runMillis = 600_000;
    world.time.runFor(SETTLE_MILLIS);
  }

  private RecordedMetrics metrics() {
    return world.holder().metrics();
  }

  private long waiting(String reason) {
    return metrics().gauge("longRunning.waiting." + reason);
  }

  /** Guards against a record of an incident that does not tell why a long-running task waits. */
  @Test
  void taskWithoutCapacityIsCountedAsWaitingForIt() {
    world.submit(0, "a", CellWorld.step(TOTAL_CAPACITY));
    world.time.runFor(500);
    world.submit(0, "l", longRunning(2, null, 0));
    world.time.runFor(2_500);
    assertEquals(2, metrics().gauge("longRunning.waiting"));
    assertEquals(2, waiting("NO_WORKER"));
    assertEquals(2, metrics().gauge("tasks.waiting.LONG_RUNNING"));
    assertEquals(1, metrics().gauge("tasks.waiting.LONG_RUNNING.NO_WORKER"));
    assertEquals(0, waiting("NOT_PLACED"));
    assertEquals(WORKERS, waiting("workers.NO_CAPACITY"));
    long longest = waiting("longest.millis");
    assertTrue(longest >= 1_000 && longest <= 2_500, () -> "waits for " + longest + " ms");
  }

  /** Guards against a reason that is still shown after the task runs. */
  @Test
  void taskThatRunsIsNoLongerCountedAsWaiting() {
    world.submit(0, "l", longRunning(1, "none", 0));
    world.time.runFor(3_500);
    assertEquals(WORKERS, waiting("workers.OTHER_LABEL"));
    world.submit(0, "m", longRunning(1, null, 0));
    world.time.runFor(3_500);
    assertEquals(1, metrics().gauge("longRunning.waiting"));
    assertEquals(1, metrics().gauge("runs"));
  }

  @Test
  void runAtAnUnreachableWorkerIsCounted() {
    world.submit(0, "l", longRunning(WORKERS, null, 1));
    world.time.runFor(2_000);
    assertEquals(0, metrics().gauge("longRunning.waiting"));
    world.workers.get("w2").disconnected = true;
    world.time.runFor(4_500);
    assertEquals(1, waiting("LAST_RUN"));
    assertEquals(1, metrics().gauge("workers.unresponsive"));
    assertEquals(WORKERS - 1, metrics().gauge("workers.schedulable"));
    assertTrue(metrics().counted("holds.LOST") > 0);
    assertEquals(metrics().counted("holds.LOST"), metrics().counted("worker.unanswered"));
  }

  @Test
  void taskBlockedByATakeoverIsCounted() {
    world.submit(0, "l", longRunning(WORKERS, null, 1));
    world.time.runFor(1_000);
    world.holder().kill();
    world.workers.get("w2").disconnected = true;
    world.time.runFor(8_000);
    assertEquals(1, metrics().counted("cell.takeovers"));
    assertEquals(1, waiting("TAKEOVER"));
    assertEquals(1, metrics().gauge("workers.unaccounted"));
  }

  /** Guards against counts that end where the log's limit of lines does. */
  @Test
  void tasksThatAreNotLoggedAreCounted() {
    int extra = 25;
    world.submit(0, "l", longRunning(TOTAL_CAPACITY + extra, null, 0));
    world.time.runFor(3_900);
    assertEquals(extra, metrics().gauge("longRunning.waiting"));
    assertEquals(MAX_LOGGED, waiting("NO_WORKER"));
    assertEquals(extra - MAX_LOGGED, waiting("NOT_EXAMINED"));
  }

  @Test
  void ordersEndsAndTransactionsAreCountedByOutcome() {
    world.workers.runMillis = 500;
    world.submit(0, "a", CellWorld.step(3));
    world.time.runFor(3_000);
    RecordedMetrics metrics = metrics();
    assertEquals(3, metrics.counted("starts.ACCEPTED"));
    assertEquals(3, metrics.counted("ends.DONE"));
    assertTrue(metrics.counted("journal.COMMITTED") > 0);
    assertEquals(metrics.counted("journal.COMMITTED"), metrics.recorded("journal.millis").size());
    assertEquals(3, metrics.recorded("order.latency.millis").size());
    assertTrue(metrics.recorded("store.latency.millis").size() > 0);
    assertTrue(metrics.recorded("plan.millis").size() > 0);
    assertTrue(metrics.gauge("cell.renewal.age.millis") < CellTiming.LATE_RENEWAL_MILLIS);
  }

  @Test
  void onlyTheHolderPublishesWhatItKnowsOfTheCell() {
    CellWorld.Node before = world.holder();
    assertEquals(1, before.metrics().gauge("cell.holder"));
    assertEquals(WORKERS, before.metrics().gauge("workers.known"));
    CellMember process = java.util.Objects.requireNonNull(before.process);
    process.beginStop();
    world.time.runFor(SETTLE_MILLIS);
    assertEquals(1, before.metrics().counted("cell.lost.RELEASED"));
    assertEquals(0, before.metrics().gauge("cell.holder"));
    assertEquals(0, before.metrics().gauge("workers.known"));
  }

  /** A long-running task that has lost its run reserves a worker until it runs again. */
  @Test
  void reservationsAreCountedUntilTheyAreDropped() {
    world.workers.runMillis = 3_000;
    world.submit(0, "l", longRunning(1, null, 0));
    world.time.runFor(1_000);
    world.submit(0, "a", CellWorld.step(TOTAL_CAPACITY - 1));
    world.time.runFor(500);
    world.submit(0, "b", CellWorld.step(2 * TOTAL_CAPACITY));
    world.time.runFor(200);
    world.workers.get(workerOfLongRunning()).disconnected = true;
    world.time.runFor(15_000);
    assertTrue(metrics().counted("reservations.added") > 0);
    assertTrue(metrics().counted("reservations.dropped.RUNS") > 0);
    assertEquals(0, metrics().gauge("reservations.held"));
  }

  private String workerOfLongRunning() {
    String start = " start l.0.0.0 ";
    String line = world.log.stream().filter(each -> each.contains(start)).findFirst().orElseThrow();
    return line.substring(line.indexOf(start) + start.length()).split(" ", 2)[0];
  }
}
