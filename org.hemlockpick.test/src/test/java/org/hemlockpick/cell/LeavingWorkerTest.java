package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests long-running tasks of a worker that leaves while little capacity is free elsewhere. */
class LeavingWorkerTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final long DRAIN_MILLIS = 5_500;
  private static final long SHORT_DRAIN_MILLIS = 4_000;
  private static final long LONG_RUN_MILLIS = 60_000;

  /** Time in which the tasks of a job are started. */
  private static final long SUBMIT_MILLIS = 500;

  private static final long WHOLE_CPU = 8_000;
  private static final long HALF_CPU = 4_000;
  private static final int WORKERS = 3;

  private final CellWorld world = new CellWorld(20261204, 2, WORKERS);

  @BeforeEach
  void settle() {
    for (String job : List.of("a", "b", "f", "l")) {
      world.workers.runMillisByJob.put(job, LONG_RUN_MILLIS);
    }
    world.time.runFor(SETTLE_MILLIS);
  }

  /** Guards against relying on the time left as it was when the list of workers was last read. */
  @Test
  void taskIsStoppedInTimeThoughTheListIsNotReadAnyMore() {
    submit("l", WHOLE_CPU, WORKERS, true);
    world.drainWorker("w0", SHORT_DRAIN_MILLIS);
    world.time.runFor(1_000);
    world.nodes.forEach(node -> node.storeView.unreadableTable = "workers");
    world.time.runFor(SHORT_DRAIN_MILLIS - 1_000);
    assertTrue(isStopped("w0"), () -> String.join("\n", world.log));
  }

  /** Guards against stopping two tasks for capacity that only one of them can have. */
  @Test
  void onlyOneOfTwoTasksIsStoppedForOnePlace() {
    String leaving = fill(0);
    world.drainWorker(leaving, DRAIN_MILLIS);
    world.time.runFor(2_000);
    assertTrue(isRunning("a") && isRunning("b"), () -> String.join("\n", world.log));
    List<String> now = List.of(workerOf("a"), workerOf("b"));
    assertEquals(1, now.stream().filter(leaving::equals).count(), now::toString);
  }

  /** Guards against stopping a task while no start may be ordered. */
  @Test
  void taskGoesOnWhileItsHolderCannotRenewItsLease() {
    String leaving = fill(5_000);
    world.drainWorker(leaving, 2 * DRAIN_MILLIS);
    world.time.runFor(1_000);
    world.store.unresponsive = true;
    world.time.runFor(5_000);
    assertTrue(isRunning("a") && isRunning("b"), () -> String.join("\n", world.log));
  }

  /**
   * Starts tasks a and b at one worker, and returns it. One of the others is full of what lasts;
   * the third gets a place for one of them, and has one for both without its short task.
   *
   * @param millis time until it has the place
   */
  private String fill(long millis) {
    world.workers.runMillisByJob.put("s", LONG_RUN_MILLIS);
    world.workers.runMillisByJob.put("t", SUBMIT_MILLIS + millis);
    world.workers.runMillisByJob.put("u", 3 * SUBMIT_MILLIS);
    submit("f", WHOLE_CPU, 1, true);
    submit("u", WHOLE_CPU, 1, false);
    submit("a", HALF_CPU, 1, true);
    submit("b", HALF_CPU, 1, true);
    world.time.runFor(SUBMIT_MILLIS);
    submit("s", HALF_CPU, 1, false);
    submit("t", HALF_CPU, 1, false);
    assertEquals(workerOf("a"), workerOf("b"), () -> String.join("\n", world.log));
    assertEquals(workerOf("s"), workerOf("t"), () -> String.join("\n", world.log));
    return workerOf("a");
  }

  private void submit(String job, long cpuMillis, int count, boolean longRunning) {
    world.submit(0, job, step(count, cpuMillis, longRunning));
    world.time.runFor(SUBMIT_MILLIS);
  }

  private static Step step(int count, long cpuMillis, boolean longRunning) {
    return new Step(
        count,
        new ResourceAmounts(cpuMillis, 100, 0),
        LONG_RUN_MILLIS,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        0,
        false,
        longRunning,
        "image",
        0,
        false,
        null);
  }

  private boolean isRunning(String job) {
    return world.workers.isRunning(new TaskId(job, 0, 0, 0));
  }

  /** Returns the worker at which the task of a job was started last. */
  private String workerOf(String job) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().job().equals(job))
        .reduce((first, second) -> second)
        .map(Start::worker)
        .orElseThrow();
  }

  private boolean isStopped(String worker) {
    return world.log.stream()
        .anyMatch(line -> line.contains(" " + worker + " (its worker leaves)"));
  }
}
