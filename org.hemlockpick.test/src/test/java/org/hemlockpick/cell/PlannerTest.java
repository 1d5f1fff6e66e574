package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.junit.jupiter.api.Test;

/** Tests similar tasks of which one does not fit into a plan and another does. */
class PlannerTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final int WORKERS = 12;

  /** Number of tasks of {@link CellWorld#step} that fill a worker. */
  private static final int TASKS_PER_WORKER = 4;

  private static Step longRunning(int count) {
    return CellWorld.step(count, false, null, 0, true, List.of());
  }

  /**
   * Guards against a never-started task that is due first keeping a lost task from the worker
   * reserved for short tasks.
   */
  @Test
  void lostTaskRestartsThoughNeverStartedTasksAreDueFirst() {
    CellWorld world = new CellWorld(20261204, 2, WORKERS);
    world.workers.runMillis = 600_000;
    world.time.runFor(SETTLE_MILLIS);
    long later = world.time.millis() + 60_000;
    Submission job =
        new Submission("l", CellWorld.QUEUE, "spec", List.of(longRunning(2)), 0, 0, 0, later);
    world.submit(0, job);
    world.time.runFor(1_000);
    world.submit(0, "due", longRunning(TASKS_PER_WORKER * WORKERS));
    world.time.runFor(1_000);
    TaskId lost = new TaskId("l", 0, 0, 0);
    world.workers.get(workerOf(world, lost)).endRunsOf("l", CompletionKind.LAPSED);
    world.time.runFor(1_000);
    assertTrue(world.workers.isRunning(lost), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations);
  }

  /**
   * Guards against a failed task, which waits for the end of the worker's pause, keeping a task
   * without failures from running there as a test of the worker.
   */
  @Test
  void taskWithoutFailuresIsNotBlockedByAFailedOne() {
    CellWorld world = new CellWorld(20261204, 2, 1);
    world.workers.failureProbability = 1;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", CellWorld.step(2));
    world.time.runFor(1_300);
    int before = world.workers.starts.size();
    world.submit(0, "b", CellWorld.step(1));
    // Later it would go first, as the other task is late by then.
    world.time.runFor(150);
    List<TaskId> started = world.workers.starts.subList(before, world.workers.starts.size());
    assertTrue(
        started.stream().anyMatch(task -> task.job().equals("b")),
        () -> String.join("\n", world.log));
  }

  private static String workerOf(CellWorld world, TaskId task) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().equals(task))
        .map(Start::worker)
        .findFirst()
        .orElseThrow();
  }
}
