package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests steps with constraints on where, when or with which others their tasks run. */
class StepConstraintsTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final int WORKERS = 4;

  /** Number of tasks that fit on all workers. */
  private static final int TOTAL_CAPACITY = 16;

  private final CellWorld world = new CellWorld(20261204, 3, WORKERS);

  private static Step longRunning(int count) {
    return CellWorld.step(count, false, null, 0, true, List.of());
  }

  private static Step step(int count, boolean gang, @Nullable String label, int maxPerWorker) {
    return CellWorld.step(count, gang, label, maxPerWorker, false, List.of());
  }

  private List<Start> starts(String job) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().job().equals(job))
        .toList();
  }

  @Test
  void gangWaitsUntilAllItsMembersFit() {
    world.workers.runMillis = 4_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(TOTAL_CAPACITY - 3, false, null, 0));
    world.time.runFor(500);
    world.submit(1, "g", step(6, true, null, 0));
    world.time.runFor(1_000);
    assertEquals(List.of(), starts("g"));
    world.time.runFor(15_000);
    List<Start> gang = starts("g");
    assertEquals(6, gang.size());
    assertEquals(1, gang.stream().map(start -> start.run().attempt()).distinct().count());
    long first = gang.stream().mapToLong(Start::atMillis).min().orElseThrow();
    long last = gang.stream().mapToLong(Start::atMillis).max().orElseThrow();
    assertTrue(last - first <= 100, () -> first + " to " + last);
    assertEquals(JobState.COMPLETED, world.state("g"));
    assertNoViolations();
  }

  @Test
  void gangContinuesThroughATakeover() {
    world.workers.runMillis = 3_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "g", step(6, true, null, 0));
    world.time.runFor(500);
    world.holder().kill();
    world.time.runFor(12_000);
    assertEquals(JobState.COMPLETED, world.state("g"));
    assertEquals(6, starts("g").size(), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  /** One worker of nine runs no long-running task; if there are only a few workers, all may. */
  @Test
  void longRunningTasksLeaveOneWorkerOfNineToOthers() {
    CellWorld wide = new CellWorld(7, 2, 9);
    wide.workers.runMillis = 60_000;
    wide.time.runFor(SETTLE_MILLIS);
    wide.submit(0, "l", longRunning(40));
    wide.time.runFor(2_000);
    assertEquals(8 * TOTAL_CAPACITY / WORKERS, wide.workers.starts.size());
    wide.submit(0, "a", step(4, false, null, 0));
    wide.time.runFor(500);
    assertEquals(8 * TOTAL_CAPACITY / WORKERS + 4, wide.workers.starts.size());
    assertEquals(List.of(), wide.workers.violations);
  }

  /** The remaining workers have no capacity for the tasks of the lost one. */
  @Test
  void lostLongRunningTaskRestartsInTheShortTaskPool() {
    CellWorld wide = new CellWorld(7, 2, 10);
    wide.workers.runMillis = 60_000;
    wide.time.runFor(SETTLE_MILLIS);
    wide.submit(0, "l", longRunning(40));
    wide.time.runFor(2_000);
    String lost = wide.workers.startLog.get(0).worker();
    int before = wide.workers.starts.size();
    assertEquals(9 * TOTAL_CAPACITY / WORKERS, before);
    wide.workers.get(lost).disconnected = true;
    wide.store.remove("workers", lost);
    wide.time.runFor(12_000);
    assertEquals(before + TOTAL_CAPACITY / WORKERS, wide.workers.starts.size());
    assertEquals(List.of(), wide.workers.violations);
  }

  @Test
  void longRunningTasksTakeAllOfAFewWorkers() {
    world.workers.runMillis = 60_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "l", longRunning(2 * TOTAL_CAPACITY));
    world.time.runFor(2_000);
    assertEquals(TOTAL_CAPACITY, starts("l").size());
    assertNoViolations();
  }

  @Test
  void tasksLimitedPerWorkerWaitForFreeWorkers() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(3 * WORKERS, false, null, 1));
    world.time.runFor(12_000);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertEquals(3 * WORKERS, starts("a").size());
    assertNoViolations();
  }

  @Test
  void taskWaitsForALabelThatNoWorkerHas() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(2, false, "none", 0));
    world.submit(0, "b", step(2, false, "r1", 0));
    world.time.runFor(4_000);
    assertEquals(List.of(), starts("a"));
    assertEquals(JobState.QUEUED, world.state("a"));
    assertEquals(JobState.COMPLETED, world.state("b"));
    assertNoViolations();
  }

  @Test
  void occurrencesStartOnTimeThroughATakeover() {
    world.time.runFor(SETTLE_MILLIS);
    long first = world.time.millis() + 2_000;
    List<Step> steps = List.of(step(2, false, null, 0));
    world.submit(
        0, new Submission("t", CellWorld.QUEUE, "spec", steps, first, 1_000, 8, first - 2_000));
    world.time.runFor(3_500);
    world.holder().kill();
    world.time.runFor(12_000);
    assertEquals(JobState.COMPLETED, world.state("t"), () -> String.join("\n", world.log));
    assertEquals(16, starts("t").size());
    for (Start start : starts("t")) {
      long due = first + 1_000L * start.run().task().occurrence();
      assertTrue(start.atMillis() >= due, start::toString);
      assertTrue(start.atMillis() <= due + CellTiming.TAKEOVER_MILLIS + 1_500, start::toString);
    }
    assertNoViolations();
  }

  private void assertNoViolations() {
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }
}
