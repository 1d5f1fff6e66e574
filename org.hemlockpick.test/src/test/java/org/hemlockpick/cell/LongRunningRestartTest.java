package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests long-running tasks that lose their runs while short jobs fill every gap as it opens. */
class LongRunningRestartTest {
  private static final long SETTLE_MILLIS = 3_000;

  /** Time from the end of its run within which a long-running task must run again. */
  private static final long MAX_RESTART_MILLIS = 9_000;

  /** Time for which the entry of a lost worker stays in the platform's list. */
  private static final long UNLISTED_AFTER_MILLIS = 3_000;

  private static final int WORKERS = 12;

  /** More than the capacity that one short task frees. */
  private static final long WIDE_CPU = 6_000;

  private static final long SHORT_CPU = 2_000;
  private static final int WIDE_TASKS = 7;
  private static final long SUBMIT_INTERVAL_MILLIS = 100;
  private static final Pattern RESERVED = Pattern.compile(" reserve l\\.\\S+ (w\\d+) ");
  private static final Pattern STARTED = Pattern.compile(" start l\\.\\S+ (w\\d+) ");

  private final CellWorld world = new CellWorld(20261204, 2, WORKERS);
  private int shortJobs;

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

  @BeforeEach
  void settle() {
    world.workers.runMillis = 1_000;
    world.workers.runMillisByJob.put("l", 600_000L);
    world.time.runFor(SETTLE_MILLIS);
  }

  /**
   * Guards against long-running tasks queuing behind short jobs for as long as these arrive, as all
   * short jobs were in time.
   */
  @Test
  void taskOfALostWorkerRestartsWhileShortTasksFillEveryGap() {
    fill(4, SHORT_CPU);
    loseWorkers(1);
    world.time.runFor(MAX_RESTART_MILLIS);
    assertAllRun("l", WIDE_TASKS);
    assertNoViolations();
  }

  /** The platform removes the entry of a lost worker after three missed heartbeats. */
  @Test
  void taskOfALostWorkerRestartsWhileItsEntryIsStillListed() {
    world.workers.runMillis = 40_000;
    fill(4, SHORT_CPU);
    String lost = workersOf("l").get(0);
    world.workers.get(lost).disconnected = true;
    world.time.after(UNLISTED_AFTER_MILLIS, () -> world.store.remove("workers", lost));
    world.time.runFor(MAX_RESTART_MILLIS);
    assertAllRun("l", WIDE_TASKS);
    assertNoViolations();
  }

  /** Waiting for a gap takes too long when no task ends within the time. */
  @Test
  void taskOfALostWorkerRestartsWhenNoShortTaskEndsInTime() {
    world.workers.runMillis = 40_000;
    fill(4, SHORT_CPU);
    loseWorkers(1);
    world.time.runFor(MAX_RESTART_MILLIS);
    assertAllRun("l", WIDE_TASKS);
    assertNoViolations();
  }

  /** Guards against placing three short tasks first in the capacity that the ended run frees. */
  @ParameterizedTest
  @EnumSource(names = {"LAPSED", "FAILED"})
  void taskWhoseRunEndsRestartsWhileShortTasksFillEveryGap(CompletionKind kind) {
    fill(4, SHORT_CPU);
    world.workers.get(workersOf("l").get(0)).endRunsOf("l", kind);
    world.time.runFor(MAX_RESTART_MILLIS);
    assertAllRun("l", WIDE_TASKS);
    assertNoViolations();
  }

  /** A sixth of the workers corresponds to an availability zone. */
  @Test
  void allTasksOfASixthOfTheWorkersRestartAndShortJobsContinue() {
    fill(4, SHORT_CPU);
    int before = starts("s");
    loseWorkers(WORKERS / 6);
    world.time.runFor(MAX_RESTART_MILLIS);
    assertAllRun("l", WIDE_TASKS);
    // Of 10 workers left, 7 hold a wide task; one short task of 1 s fits next to it, 4 fit
    // elsewhere.
    int served = starts("s") - before;
    assertTrue(served >= 90, () -> served + " short tasks were started");
    assertNoViolations();
  }

  /**
   * Otherwise a loss of many workers would stop all short tasks until the last long-running task
   * runs again.
   */
  @Test
  void atMostAFifthOfTheWorkersIsReservedAtATime() {
    world.workers.runMillis = 40_000;
    fill(4, SHORT_CPU);
    int before = world.log.size();
    loseWorkers(2);
    world.time.runFor(MAX_RESTART_MILLIS);
    assertAllRun("l", WIDE_TASKS);
    Set<String> reservedWorkers = new HashSet<>();
    for (String line : world.log.subList(before, world.log.size())) {
      Matcher reserved = RESERVED.matcher(line);
      Matcher started = STARTED.matcher(line);
      if (reserved.find()) {
        reservedWorkers.add(reserved.group(1));
      } else if (started.find()) {
        reservedWorkers.remove(started.group(1));
      }
      // Two of the 10 workers that are left.
      assertTrue(reservedWorkers.size() <= 2, () -> reservedWorkers + " at " + line);
    }
    assertNoViolations();
  }

  /**
   * Starts long-running tasks and then short jobs without end, until nearly all capacity is
   * reserved.
   */
  private void fill(int tasksPerJob, long cpuMillis) {
    world.submit(0, "l", step(WIDE_TASKS, WIDE_CPU, true));
    world.time.runFor(1_000);
    assertAllRun("l", WIDE_TASKS);
    submitShort(tasksPerJob, cpuMillis);
    world.time.runFor(3_000);
    long capacity = WORKERS * CellWorld.WORKER_CAPACITY.cpuMillis();
    long taken = world.workers.reservedCpu();
    assertTrue(taken * 100 >= capacity * 90, () -> taken + " of " + capacity + " are taken");
  }

  private void submitShort(int tasks, long cpuMillis) {
    world.submit(0, "s" + shortJobs++, step(tasks, cpuMillis, false));
    world.time.after(SUBMIT_INTERVAL_MILLIS, () -> submitShort(tasks, cpuMillis));
  }

  /** Disconnects some workers that run long-running tasks, without notice. */
  private void loseWorkers(int count) {
    for (String worker : workersOf("l").subList(0, count)) {
      world.workers.get(worker).disconnected = true;
      world.store.remove("workers", worker);
    }
  }

  /** Returns the workers at which tasks of a job were started. */
  private List<String> workersOf(String job) {
    TreeSet<String> found = new TreeSet<>();
    for (Start start : world.workers.startLog) {
      if (start.run().task().job().equals(job)) {
        found.add(start.worker());
      }
    }
    return new ArrayList<>(found);
  }

  /** Returns how many tasks were started of jobs whose names begin with a prefix. */
  private int starts(String prefix) {
    return (int)
        world.workers.starts.stream().filter(task -> task.job().startsWith(prefix)).count();
  }

  private void assertAllRun(String job, int count) {
    List<Integer> missing = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      if (!world.workers.isRunning(new TaskId(job, 0, 0, i))) {
        missing.add(i);
      }
    }
    assertEquals(List.of(), missing, () -> String.join("\n", pendingLines()));
  }

  private List<String> pendingLines() {
    return world.log.stream().filter(line -> line.contains(" wait l.")).toList();
  }

  private void assertNoViolations() {
    assertEquals(List.of(), world.workers.violations);
  }
}
