package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that whatever keeps tasks from a worker by a belief ends within a bounded time. */
class RefusalBoundsTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final long LONG_MILLIS = 600_000;

  /** Longest pause of a worker whose runs fail, and some time to plan. */
  private static final long MAX_PAUSE_MILLIS = 6_500;

  /** Time after which another run is tried beside a test that goes on. */
  private static final long TEST_MILLIS = 3_000;

  /** Time for which suspects are kept apart, and some to notice a crash and to plan. */
  private static final long MAX_APART_MILLIS = 2_500;

  private final CellWorld world = new CellWorld(20261205, 2, 3);

  @BeforeEach
  void settle() {
    world.time.runFor(SETTLE_MILLIS);
  }

  private static Step lasting(int count) {
    return CellWorld.step(count, false, null, 0, true, List.of());
  }

  private static Step step(int count, long cpuMillis, boolean filler) {
    return new Step(
        count,
        new ResourceAmounts(cpuMillis, 500, 0),
        500,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        0,
        false,
        false,
        "image",
        0,
        filler,
        null);
  }

  private List<Start> starts(String job) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().job().equals(job))
        .toList();
  }

  /** Returns the time from one time to the first start of a job after it; the maximum if none. */
  private long waited(String job, long since) {
    return starts(job).stream()
        .mapToLong(Start::atMillis)
        .filter(at -> at >= since)
        .map(at -> at - since)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private String log() {
    return String.join("\n", world.log);
  }

  /** Has the runs on all workers fail, until each worker is suspect and paused for the longest. */
  private void makeSuspect() {
    world.workers.failureProbability = 1;
    world.submit(0, "f", CellWorld.step(6));
    world.time.runFor(30_000);
    world.holder().process().cancel(CellWorld.address("f"), "caller", 1_000, reply -> {});
    world.time.runFor(1_000);
    world.workers.failureProbability = 0;
  }

  /** Guards against a suspect worker that is never tested as long as a lasting task runs there. */
  @Test
  void suspectWorkerWithALastingTaskIsTested() {
    world.workers.runMillisByJob.put("l", LONG_MILLIS);
    world.submit(0, "l", lasting(6));
    world.time.runFor(1_000);
    makeSuspect();
    long since = world.time.millis();
    world.submit(0, "s", CellWorld.step(1));
    world.time.runFor(20_000);
    assertTrue(waited("s", since) <= MAX_PAUSE_MILLIS, () -> waited("s", since) + "\n" + log());
    assertEquals(JobState.COMPLETED, world.state("s"));
  }

  /** Guards against a suspect worker that takes nothing else while a long test runs there. */
  @Test
  void suspectWorkerIsNotClosedForAsLongAsItsTestRuns() {
    makeSuspect();
    world.workers.runMillis = 60_000;
    world.workers.runMillisByJob.put("s", 500L);
    world.submit(0, "t", CellWorld.step(3));
    world.time.runFor(MAX_PAUSE_MILLIS);
    assertEquals(3, starts("t").size(), this::log);
    long since = world.time.millis();
    world.submit(0, "s", CellWorld.step(1));
    world.time.runFor(20_000);
    assertTrue(waited("s", since) <= TEST_MILLIS, () -> waited("s", since) + "\n" + log());
  }

  /**
   * Guards against a worker that stays off the roster, and whose leases are not extended, as it was
   * written as unreachable while it was unlisted and is listed again before it answers.
   */
  @Test
  void workerThatIsListedAgainBeforeItAnswersIsUsed() {
    world.workers.runMillisByJob.put("l", LONG_MILLIS);
    world.submit(0, "l", lasting(6));
    world.time.runFor(4_000);
    for (String worker : List.of("w0", "w1", "w2")) {
      world.workers.get(worker).disconnected = true;
    }
    runUntilLogged("w2 not reached");
    List.of("w0", "w1", "w2").forEach(worker -> world.store.remove("workers", worker));
    runUntilLogged("w2 left the list");
    world.time.runFor(100);
    List.of("w0", "w1", "w2").forEach(world::registerWorker);
    world.time.runFor(460);
    for (String worker : List.of("w0", "w1", "w2")) {
      world.workers.get(worker).disconnected = false;
    }
    long since = world.time.millis();
    world.submit(0, "s", CellWorld.step(3));
    world.time.runFor(20_000);
    assertTrue(waited("s", since) <= 3_000, () -> waited("s", since) + "\n" + log());
    assertEquals(List.of(), world.workers.lapsedRuns, this::log);
  }

  private void runUntilLogged(String text) {
    for (int i = 0; i < 1_000; i++) {
      world.time.runFor(10);
      if (world.log.stream().anyMatch(line -> line.contains(text))) {
        return;
      }
    }
    throw new AssertionError(text + "\n" + log());
  }

  /** Guards against suspects that wait one after the other, each for as long as one may. */
  @Test
  void manySuspectsWaitNoLongerThanOne() {
    world.workers.runMillis = 60_000;
    world.submit(0, "g", step(60, 300, false));
    world.time.runFor(1_000);
    world.workers.get("w0").crash();
    runUntilLogged("crashed");
    long since = world.time.millis() - 10;
    List<RunId> lost = world.workers.crashLog.get(0).lost();
    world.time.runFor(20_000);
    List<Long> waits = new ArrayList<>();
    for (RunId run : lost) {
      waits.add(waitedAgain(run.task(), since));
    }
    assertEquals(20, waits.size());
    assertTrue(Collections.max(waits) <= MAX_APART_MILLIS, () -> waits + "\n" + log());
  }

  private long waitedAgain(TaskId task, long since) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().equals(task) && start.atMillis() >= since)
        .mapToLong(start -> start.atMillis() - since)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Guards against a filler that stands still without end at a worker that does no work. */
  @Test
  void fillerAtAWorkerThatDoesNoWorkIsStartedElsewhere() {
    world.workers.get("w1").stuck = true;
    world.submit(0, "f", step(6, 1_000, true));
    world.time.runFor(30_000);
    assertEquals(JobState.COMPLETED, world.state("f"), this::log);
  }

  /** Guards against a run that goes on without end as its worker has lost the order to stop it. */
  @Test
  void runWhoseStopWasAcceptedAndNotCarriedOutIsStoppedAgain() {
    world.workers.runMillis = LONG_MILLIS;
    world.submit(0, "a", CellWorld.step(3));
    world.time.runFor(500);
    for (String worker : List.of("w0", "w1", "w2")) {
      world.workers.get(worker).stopsToForget = 1;
    }
    world.holder().process().cancel(CellWorld.address("a"), "caller", 1_000, reply -> {});
    world.time.runFor(10_000);
    assertEquals(0, world.workers.running(), this::log);
  }
}
