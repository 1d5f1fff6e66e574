package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.junit.jupiter.api.Test;

/** Tests that what is held against workers or tasks keeps no task from starting for long. */
class StartWaitTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final long LONG_MILLIS = 600_000;

  /** Time within which a ready task has to start where most of the capacity is free. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  private static CellWorld world(int workers) {
    CellWorld world = new CellWorld(20261205, 2, workers);
    world.time.runFor(SETTLE_MILLIS);
    return world;
  }

  private static Step lasting(int count) {
    return CellWorld.step(count, false, null, 0, true, List.of());
  }

  private static List<Long> startTimes(CellWorld world, String job) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().job().equals(job))
        .map(Start::atMillis)
        .toList();
  }

  private static void assertStartsWithin(CellWorld world, String job, long since, long millis) {
    List<Long> starts = startTimes(world, job);
    String log = job + " since " + since + " starts " + starts;
    long waited = starts.isEmpty() ? world.time.millis() - since : starts.get(0) - since;
    assertTrue(
        waited <= millis, () -> waited + " ms, " + log + "\n" + String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations);
  }

  /**
   * Guards against a worker whose runs failed being tested never, because a long-running task that
   * was there before counts as the test.
   */
  @Test
  void workerIsTestedThoughLongRunningTasksAreThere() {
    CellWorld world = world(2);
    world.workers.runMillisByJob.put("l", LONG_MILLIS);
    world.submit(0, "l", lasting(4));
    world.time.runFor(1_000);
    for (int i = 0; i < 2; i++) {
      for (int w = 0; w < 2; w++) {
        endOneRun(world, "w" + w);
      }
      world.time.runFor(1_000);
    }
    world.time.runFor(8_000);
    long since = world.time.millis();
    world.submit(0, "a", CellWorld.step(1));
    world.time.runFor(20_000);
    assertStartsWithin(world, "a", since, MAX_WAIT_MILLIS);
  }

  /** Ends one of the long-running runs at a worker as failed. */
  private static void endOneRun(CellWorld world, String worker) {
    world.workers.get(worker).endOneRunOf("l", CompletionKind.FAILED);
  }

  /** Guards against a gang that needs several places at workers that get one run as a test. */
  @Test
  void gangStartsAgainThoughItsFailuresMadeAllWorkersSuspect() {
    CellWorld world = world(2);
    world.workers.failureProbability = 1;
    world.submit(0, "g", CellWorld.constrainedStep(4, true, 0));
    world.time.runFor(20_000);
    world.workers.failureProbability = 0;
    world.time.runFor(10_000);
    assertEquals(JobState.COMPLETED, world.state("g"), () -> String.join("\n", world.log));
  }
}
