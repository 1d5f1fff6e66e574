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

  /** Creates a step of tasks that take little capacity, or fillers. */
  private static Step small(int count, int cpuMillis, boolean filler) {
    ResourceAmounts demand = new ResourceAmounts(cpuMillis, 500, 0);
    return new Step(
        count, demand, 500, List.of(), false, false, false, null, null, 0, false, false, "image", 0,
        filler, null);
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

  /** Guards against a failed task waiting for the end of long pauses of all workers. */
  @Test
  void failedTaskStartsAgainSoonThoughAllWorkersArePaused() {
    CellWorld world = world(2);
    world.workers.failureProbability = 1;
    world.submit(0, "a", CellWorld.step(1));
    world.time.runFor(60_000);
    assertNoLongPause(world, "a");
  }

  private static void assertNoLongPause(CellWorld world, String job) {
    List<Long> starts = startTimes(world, job);
    long longest = world.time.millis() - starts.get(starts.size() - 1);
    for (int i = 1; i < starts.size(); i++) {
      longest = Math.max(longest, starts.get(i) - starts.get(i - 1));
    }
    long seen = longest;
    long runMillis = world.workers.runMillis * 3 / 2;
    assertTrue(seen <= MAX_WAIT_MILLIS + runMillis, () -> seen + " ms between starts " + starts);
  }

  /** Guards against a task that has waited being held up by one of its kind that has not. */
  @Test
  void failedTasksTakeTurnsAtAPausedWorker() {
    CellWorld world = world(1);
    world.workers.failureProbability = 1;
    world.submit(0, "a", CellWorld.step(1));
    world.time.runFor(100);
    world.submit(0, "b", CellWorld.step(1));
    world.time.runFor(40_000);
    assertNoLongPause(world, "b");
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

  /**
   * Guards against tasks that are suspect of crashing workers waiting one after the other for a
   * worker without other suspects.
   */
  @Test
  void suspectsWaitAtTheSameTime() {
    CellWorld world = world(2);
    world.workers.runMillis = 40_000;
    for (int i = 0; i < 12; i++) {
      world.submit(0, "s" + i, small(1, 300, false));
    }
    world.time.runFor(1_000);
    long crashedAt = world.time.millis();
    world.workers.get("w0").crash();
    world.time.runFor(20_000);
    List<Long> again =
        world.workers.startLog.stream()
            .map(Start::atMillis)
            .filter(at -> at >= crashedAt)
            .sorted()
            .toList();
    assertTrue(again.size() >= 4, () -> again + "\n" + String.join("\n", world.log));
    long spread = again.get(again.size() - 1) - again.get(0);
    assertTrue(
        spread <= MAX_WAIT_MILLIS,
        () -> spread + " ms between " + again + "\n" + String.join("\n", world.log));
  }

  /**
   * Guards against a job of fillers that can no longer be in time having nothing running for as
   * long as others keep coming.
   */
  @Test
  void jobThatIsTooLateKeepsMovingWhileOthersKeepComing() {
    CellWorld world = world(3);
    for (int i = 0; i < 20; i++) {
      submitFillers(world, i);
    }
    long since = world.time.millis();
    Submission old =
        new Submission(
            "old",
            CellWorld.QUEUE,
            "spec",
            List.of(small(3, 2_000, true)),
            0,
            0,
            0,
            since - 120_000);
    world.submit(0, old);
    for (int i = 20; i < 120; i++) {
      submitFillers(world, i);
      world.time.runFor(250);
    }
    assertStartsWithin(world, "old", since, MAX_WAIT_MILLIS);
  }

  private static void submitFillers(CellWorld world, int number) {
    world.submit(0, "n" + number, small(12, 2_000, true));
  }
}
