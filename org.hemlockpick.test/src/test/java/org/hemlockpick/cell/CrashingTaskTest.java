package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hemlockpick.cell.FakeWorkers.Crash;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests tasks that crash the workers that start them, and workers that crash for other reasons. */
class CrashingTaskTest {
  private static final long SETTLE_MILLIS = 3_000;

  /** Time after its start at which a task crashes its worker. */
  private static final long CRASH_MILLIS = 10;

  /** Crashes after which a task must not be started again. */
  private static final int MAX_CRASHES = 3;

  private static final long LONG_MILLIS = 600_000;
  private static final int WORKERS = 12;

  private final CellWorld world = new CellWorld(20261204, 3, WORKERS);

  @BeforeEach
  void settle() {
    world.time.runFor(SETTLE_MILLIS);
  }

  private static TaskId task(String job, int index) {
    return new TaskId(job, 0, 0, index);
  }

  private static Step lasting(int count) {
    return CellWorld.step(count, false, null, 0, true, List.of());
  }

  private List<Start> starts(TaskId task) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().equals(task))
        .toList();
  }

  private void assertGivenUp(TaskId task) {
    String log = String.join("\n", world.log);
    int starts = starts(task).size();
    assertTrue(starts >= 2 && starts <= MAX_CRASHES, () -> starts + " starts\n" + log);
    assertEquals(JobState.FAILED, world.state(task.job()), () -> log);
    assertEquals(List.of(), world.workers.violations);
  }

  private boolean isLogged(String text) {
    return world.log.stream().anyMatch(line -> line.contains(text));
  }

  private List<String> live(int count) {
    List<String> live = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      live.add("w" + i);
    }
    return live;
  }

  /** Guards against starting a task at one worker after the other though each of them crashes. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void taskThatCrashesItsWorkersIsGivenUp(boolean otherIdentifier) {
    world.workers.returnsUnderOtherIdentifier = otherIdentifier;
    world.workers.crashAfterMillis.put(task("g", 0), CRASH_MILLIS);
    world.submit(0, "g", CellWorld.step(5));
    world.time.runFor(20_000);
    assertGivenUp(task("g", 0));
  }

  /** Guards against holding only the start of a task to be able to crash its worker. */
  @Test
  void taskThatCrashesItsWorkersAfterSecondsOfWorkIsGivenUp() {
    world.workers.runMillisByJob.put("g", 40_000L);
    world.workers.runMillisByJob.put("n", LONG_MILLIS);
    world.submit(0, "n", lasting(10));
    world.time.runFor(1_000);
    world.workers.crashAfterMillis.put(task("g", 1), 2_000L);
    world.submit(0, "g", CellWorld.step(3));
    world.time.runFor(40_000);
    assertGivenUp(task("g", 1));
    assertEquals(JobState.RUNNING, world.state("n"));
  }

  /** Guards against a take-over forgetting the crashes that the holder before has counted. */
  @Test
  void crashesThatAnEarlierHolderCountedStillCount() {
    world.workers.runMillisByJob.put("g", 40_000L);
    world.workers.crashAfterMillis.put(task("g", 1), 2_000L);
    world.submit(0, "g", CellWorld.step(3));
    for (int i = 0; i < 300 && starts(task("g", 1)).size() < 3; i++) {
      world.time.runFor(100);
    }
    world.time.runFor(1_000);
    CellWorld.Node holder = world.holder();
    holder.kill();
    holder.start();
    world.time.runFor(30_000);
    // The crash that falls into the take-over is not seen by any holder.
    int starts = starts(task("g", 1)).size();
    assertTrue(starts <= MAX_CRASHES + 1, () -> starts + "\n" + String.join("\n", world.log));
    assertEquals(JobState.FAILED, world.state("g"));
  }

  /** Guards against giving up the wrong task of those that were lost with the same workers. */
  @Test
  void neighboursOfACrashingTaskAreCompleted() {
    world.workers.runMillis = 1_500;
    world.workers.crashAfterMillis.put(task("g", 0), CRASH_MILLIS);
    world.submit(0, "n", CellWorld.step(24));
    world.submit(0, "g", CellWorld.step(5));
    world.submit(0, "o", CellWorld.step(16));
    world.time.runFor(30_000);
    assertGivenUp(task("g", 0));
    assertEquals(JobState.COMPLETED, world.state("n"));
    assertEquals(JobState.COMPLETED, world.state("o"));
  }

  /** Guards against a limit that holds for short tasks only. */
  @Test
  void longRunningTaskThatCrashesItsWorkersIsGivenUp() {
    world.workers.runMillisByJob.put("g", LONG_MILLIS);
    world.workers.runMillisByJob.put("n", LONG_MILLIS);
    world.submit(0, "n", lasting(12));
    world.time.runFor(2_000);
    world.workers.crashAfterMillis.put(task("g", 0), CRASH_MILLIS);
    world.submit(0, "g", lasting(4));
    world.time.runFor(30_000);
    assertGivenUp(task("g", 0));
    assertEquals(JobState.RUNNING, world.state("n"));
    for (int i = 0; i < 12; i++) {
      TaskId neighbour = task("n", i);
      assertTrue(world.workers.isAtWork(neighbour), neighbour::toString);
    }
  }

  /** Guards against a gang, whose members all start anew, never being given up. */
  @Test
  void gangWithAMemberThatCrashesItsWorkersIsGivenUp() {
    world.workers.crashAfterMillis.put(task("g", 2), CRASH_MILLIS);
    world.submit(0, "g", CellWorld.constrainedStep(4, true, 0));
    world.time.runFor(30_000);
    assertGivenUp(task("g", 2));
  }

  /** Guards against an occurrence of a timed job being started without end. */
  @Test
  void occurrenceThatCrashesItsWorkersIsGivenUp() {
    long now = world.time.millis();
    TaskId guilty = new TaskId("g", 1, 0, 0);
    world.workers.crashAfterMillis.put(guilty, CRASH_MILLIS);
    world.submit(
        0,
        new Submission(
            "g", CellWorld.QUEUE, "spec", List.of(CellWorld.step(2)), now + 500, 2_000, 2, now));
    world.time.runFor(30_000);
    assertGivenUp(guilty);
  }

  /** Guards against counting the crashes of several guilty tasks for none of them. */
  @Test
  void severalCrashingTasksAreGivenUpAtOnce() {
    for (String job : List.of("g", "h", "i", "j")) {
      world.workers.crashAfterMillis.put(task(job, 0), CRASH_MILLIS);
      world.submit(0, job, CellWorld.step(3));
    }
    world.time.runFor(40_000);
    for (String job : List.of("g", "h", "i", "j")) {
      assertGivenUp(task(job, 0));
    }
  }

  /** Guards against taking the loss of a rack for the doing of the tasks that ran there. */
  @Test
  void tasksOfARackThatIsLostTwiceAreNotGivenUp() {
    world.workers.runMillis = 2_500;
    world.workers.runMillisByJob.put("n", LONG_MILLIS);
    world.submit(0, "n", lasting(12));
    world.submit(0, "s", CellWorld.step(24));
    world.time.runFor(300);
    live(6).forEach(worker -> world.workers.get(worker).crash());
    world.time.runFor(4_200);
    List<String> running = new ArrayList<>(live(WORKERS).subList(6, WORKERS));
    running.forEach(worker -> world.workers.get(worker).crash());
    world.time.runFor(20_000);
    assertEquals(JobState.COMPLETED, world.state("s"), () -> String.join("\n", world.log));
    assertEquals(JobState.RUNNING, world.state("n"), () -> String.join("\n", world.log));
  }

  /** Guards against counting a worker that leaves by plan. */
  @Test
  void workerThatDrainsHasNotCrashed() {
    world.workers.runMillis = 20_000;
    world.submit(0, "a", CellWorld.step(12));
    world.time.runFor(1_000);
    live(4).forEach(worker -> world.drainWorker(worker, 2_500));
    world.time.runFor(10_000);
    assertFalse(isLogged("crashed"), () -> String.join("\n", world.log));
  }

  /** Guards against counting a worker that did not answer for a while. */
  @ParameterizedTest
  @ValueSource(longs = {2_000, 12_000})
  void silentWorkerThatReturnsHasNotCrashed(long silentMillis) {
    world.workers.runMillis = 20_000;
    world.submit(0, "a", CellWorld.step(12));
    world.time.runFor(1_000);
    live(3).forEach(worker -> world.workers.get(worker).disconnected = true);
    world.time.runFor(silentMillis);
    live(3).forEach(worker -> world.workers.get(worker).disconnected = false);
    world.time.runFor(10_000);
    assertFalse(isLogged("crashed"), () -> String.join("\n", world.log));
  }

  /** Guards against taking a worker that is listed again, still up, for another one. */
  @Test
  void workerThatIsListedAgainHasNotCrashed() {
    world.workers.runMillis = 20_000;
    world.submit(0, "a", CellWorld.step(12));
    world.time.runFor(1_000);
    for (String worker : live(3)) {
      world.workers.get(worker).disconnected = true;
      world.store.remove("workers", worker);
    }
    world.time.runFor(12_000);
    for (String worker : live(3)) {
      world.workers.get(worker).disconnected = false;
      world.registerWorker(worker);
    }
    world.time.runFor(10_000);
    assertFalse(isLogged("crashed"), () -> String.join("\n", world.log));
  }

  /** Guards against missing a crash because the worker is back only after its lease has expired. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void crashOfAWorkerThatIsBackAfterItsLeaseCounts(boolean otherIdentifier) {
    world.workers.returnsUnderOtherIdentifier = otherIdentifier;
    world.workers.crashReturnMillis = 9_000;
    world.workers.crashAfterMillis.put(task("g", 0), CRASH_MILLIS);
    world.submit(0, "g", CellWorld.step(2));
    world.time.runFor(60_000);
    String log = String.join("\n", world.log);
    int starts = starts(task("g", 0)).size();
    assertTrue(starts >= 2 && starts <= MAX_CRASHES + 2, () -> starts + " starts\n" + log);
    assertEquals(JobState.FAILED, world.state("g"), () -> log);
  }

  /** Guards against a worker being paused for the crash that a task caused. */
  @Test
  void workerIsNotPausedForACrash() {
    world.workers.returnsUnderOtherIdentifier = false;
    world.workers.crashAfterMillis.put(task("g", 0), CRASH_MILLIS);
    world.submit(0, "g", CellWorld.step(5));
    world.time.runFor(20_000);
    assertFalse(isLogged(" paused "), () -> String.join("\n", world.log));
  }

  /**
   * Guards against placing the tasks that were lost with a worker side by side again, which tells
   * nothing about them and loses them once more.
   */
  @Test
  void tasksLostWithAWorkerAreKeptApart() {
    world.workers.runMillis = 1_500;
    world.workers.runMillisByJob.put("n", LONG_MILLIS);
    world.submit(0, "n", step(8, 8_000, true));
    world.time.runFor(1_000);
    world.workers.crashAfterMillis.put(task("g", 0), CRASH_MILLIS);
    world.submit(0, "g", step(24, 500, false));
    world.time.runFor(20_000);
    assertKeptApart();
    assertGivenUp(task("g", 0));
    assertEquals(JobState.RUNNING, world.state("n"));
  }

  /** Guards against new tasks joining a suspect before it has run for a while. */
  @Test
  void noTaskIsStartedBesideAYoungSuspect() {
    world.workers.runMillis = 700;
    world.workers.crashAfterMillis.put(task("g", 0), 900L);
    world.workers.runMillisByJob.put("g", 40_000L);
    world.submit(0, "g", step(4, 500, false));
    for (int i = 0; i < 200; i++) {
      world.submit(0, "s" + i, step(6, 1_000, false));
      world.time.runFor(100);
    }
    world.time.runFor(10_000);
    assertGivenUp(task("g", 0));
    List<Crash> crashes = world.workers.crashLog;
    for (Crash crash : crashes.subList(1, crashes.size())) {
      List<Start> joined =
          world.workers.startLog.stream()
              .filter(start -> start.worker().equals(crash.worker()))
              .filter(start -> start.atMillis() > crash.atMillis() - 800)
              .toList();
      assertEquals(List.of(), joined, () -> crash + "\n" + String.join("\n", world.log));
    }
  }

  private static Step step(int count, long cpuMillis, boolean longRunning) {
    return new Step(
        count,
        new ResourceAmounts(cpuMillis, 1_000, 0),
        500,
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

  /** Checks that no crash lost two tasks that a worker had been lost with before. */
  private void assertKeptApart() {
    Set<TaskId> lost = new HashSet<>();
    for (Crash crash : world.workers.crashLog) {
      List<TaskId> again = crash.lost().stream().map(RunId::task).filter(lost::contains).toList();
      assertTrue(again.size() <= 1, () -> crash + "\n" + String.join("\n", world.log));
      crash.lost().forEach(run -> lost.add(run.task()));
    }
  }
}
