package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests long-running tasks in a full service whose workers are lost and replaced while calls are
 * slow or lost, beside tasks that fit on no worker.
 */
class LongRunningLossTest {
  private static final long SETTLE_MILLIS = 3_000;

  /** Time from the end of its run within which a long-running task must run again. */
  private static final long MAX_RESTART_MILLIS = 9_000;

  /** Lease of a run, as deployments set it. */
  private static final long LEASE_MILLIS = 6_000;

  /** Time within which a task must run again if there is free capacity for it. */
  private static final long MAX_HANDOVER_MILLIS = 3_000;

  private static final int WORKERS = 24;

  /** Mean run time of short tasks of which hardly any ends in time. */
  private static final long LONG_RUN_MILLIS = 60_000;

  private static final long WIDE_CPU = 6_000;

  /** Two fill a worker. */
  private static final long HALF_CPU = 4_000;

  /** One for each worker, but for the eighth part that is kept for short tasks. */
  private static final int HALF_TASKS = 21;

  private static final long SHORT_CPU = 2_000;
  private static final int WIDE_TASKS = 12;

  /** More tasks than workers. */
  private static final int NARROW_TASKS = 2 * WORKERS;

  private static final long SUBMIT_INTERVAL_MILLIS = 100;

  /** Time that is left when a worker says that it leaves. */
  private static final long DRAIN_MILLIS = 5_500;

  private static final long LONG_DRAIN_MILLIS = 8_000;

  /** Time before a draining worker leaves by which its tasks are stopped in any case. */
  private static final long FORCED_MILLIS = 2_500;

  /** Time in which all runs at one worker are ordered to stop. */
  private static final long ORDERS_MILLIS = 200;

  private static final long SLOW_CALL_MILLIS = 650;
  private static final long STEP_MILLIS = 10;

  private final CellWorld world = new CellWorld(20261205, 2, WORKERS, LEASE_MILLIS);
  private final Map<TaskId, Long> lastSeen = new HashMap<>();
  private final Map<TaskId, Long> longestGap = new HashMap<>();
  private int tasks;
  private int shortJobs;
  private int newWorkers;

  private static Step step(int count, long cpuMillis, boolean longRunning, int maxPerWorker) {
    return step(count, cpuMillis, longRunning, maxPerWorker, null);
  }

  private static Step step(
      int count,
      long cpuMillis,
      boolean longRunning,
      int maxPerWorker,
      @Nullable Integer maxUnavailable) {
    return new Step(
        count,
        new ResourceAmounts(cpuMillis, 100, 0),
        500,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        maxPerWorker,
        false,
        longRunning,
        "image",
        0,
        false,
        maxUnavailable);
  }

  @BeforeEach
  void settle() {
    world.workers.runMillis = 1_000;
    world.workers.runMillisByJob.put("x", 10 * LONG_RUN_MILLIS);
    world.workers.runMillisByJob.put("l", 10 * LONG_RUN_MILLIS);
    world.time.runFor(SETTLE_MILLIS);
  }

  /**
   * Guards against a task that fits on no other worker taking the early reservations from all tasks
   * of lost workers.
   */
  @Test
  void taskThatFitsNowhereDoesNotDelayTheReservationsOfOthers() {
    world.workers.runMillis = LONG_RUN_MILLIS;
    world.submit(0, "x", step(WORKERS, 0, true, 1));
    world.time.runFor(1_000);
    fill();
    int before = world.log.size();
    List<String> lost = workersOf("l").subList(0, 3);
    lost.forEach(this::lose);
    run(2 * MAX_RESTART_MILLIS);
    List<String> log = world.log.subList(before, world.log.size());
    for (String worker : lost) {
      TaskId task = taskAt("l", worker);
      int reserved = indexOf(log, " reserve " + task + " ");
      int gone = indexOf(log, " end " + task + " gone ");
      assertTrue(reserved < gone, () -> text(log, task));
    }
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /** Guards against a bound on reserved workers that is too low if half of the workers are lost. */
  @ParameterizedTest
  @ValueSource(longs = {1_000, LONG_RUN_MILLIS})
  void tasksOfHalfOfTheWorkersRestart(long shortRunMillis) {
    world.workers.runMillis = shortRunMillis;
    fill();
    List<String> lost = new ArrayList<>(workersOf("l").subList(0, WIDE_TASKS / 2));
    for (int i = 0; lost.size() < WORKERS / 2; i++) {
      if (!workersOf("l").contains("w" + i)) {
        lost.add("w" + i);
      }
    }
    lost.forEach(this::lose);
    run(3 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /**
   * Guards against a bound on reserved workers that lets the tasks of half of the workers restart
   * in so many rounds, each as long as some slow calls, that the last ones come too late.
   */
  @ParameterizedTest
  @CsvSource({"1000, 2", "1000, 650", "60000, 2", "60000, 650"})
  void oneTaskOfEachOfHalfOfTheWorkersRestarts(long shortRunMillis, long replyMillis) {
    world.workers.runMillis = shortRunMillis;
    fill(step(HALF_TASKS, HALF_CPU, true, 0));
    assertEquals(HALF_TASKS, workersOf("l").size());
    slowDown(replyMillis);
    for (int i = 0; i < WORKERS / 2; i++) {
      lose("w" + i);
    }
    run(3 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /** Guards against a stop that is ordered long before the task fits on another worker. */
  @Test
  void taskOfALeavingWorkerRunsUntilItFitsElsewhere() {
    world.workers.runMillis = LONG_RUN_MILLIS;
    fill();
    String leaving = workersOf("l").get(0);
    TaskId task = taskAt("l", leaving);
    world.drainWorker(leaving, DRAIN_MILLIS);
    run(2 * MAX_RESTART_MILLIS);
    int preempted = indexOf(world.log, "frees capacity for " + task);
    int stopped = indexOf(world.log, " stop " + task + " " + leaving + " (its worker leaves)");
    assertTrue(preempted < stopped, () -> text(world.log, task));
    assertAllRestarted(MAX_HANDOVER_MILLIS);
  }

  /** Guards against moving all tasks of a step at once when they all have their places. */
  @Test
  void tasksOfALeavingWorkerMoveWithinTheBudgetInAFullService() {
    world.workers.runMillis = LONG_RUN_MILLIS;
    fill(step(NARROW_TASKS, SHORT_CPU, true, 0, 1));
    String leaving = "w0";
    world.drainWorker(leaving, LONG_DRAIN_MILLIS);
    int mostAway = 0;
    for (long left = LONG_DRAIN_MILLIS; left > FORCED_MILLIS; left -= STEP_MILLIS) {
      world.time.runFor(STEP_MILLIS);
      mostAway = Math.max(mostAway, NARROW_TASKS - countAtWork());
    }
    assertEquals(1, mostAway, () -> String.join("\n", lines(" l.0.0.")));
    world.time.runFor(MAX_RESTART_MILLIS);
    assertEquals(NARROW_TASKS, countAtWork(), () -> String.join("\n", lines(" l.0.0.")));
    assertEquals(List.of(), world.workers.violations);
  }

  /** Guards against a wait that leaves no time for a second place if the first one is lost. */
  @ParameterizedTest
  @ValueSource(longs = {2, SLOW_CALL_MILLIS})
  void taskOfALeavingWorkerRestartsThoughItsNewWorkerFallsSilent(long replyMillis) {
    world.workers.runMillis = LONG_RUN_MILLIS;
    fill();
    slowDown(replyMillis);
    String leaving = workersOf("l").get(0);
    TaskId task = taskAt("l", leaving);
    world.drainWorker(leaving, DRAIN_MILLIS);
    loseWorkerWherePreempted(task, world.log.size());
    run(3 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /** As for a leaving worker, after a lost one, whose lease takes its part of the time. */
  @ParameterizedTest
  @ValueSource(longs = {2, SLOW_CALL_MILLIS})
  void taskOfALostWorkerRestartsThoughItsNewWorkerFallsSilent(long replyMillis) {
    world.workers.runMillis = LONG_RUN_MILLIS;
    fill();
    slowDown(replyMillis);
    String lost = workersOf("l").get(0);
    TaskId task = taskAt("l", lost);
    lose(lost);
    loseWorkerWherePreempted(task, world.log.size());
    run(3 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /**
   * Guards against waiting until a lease has ended before runs are preempted: two leases in a row,
   * as the new worker falls silent when the task is ordered there, take nearly all of the time.
   */
  @Test
  void taskOfALostWorkerRestartsThoughTheOrderToStartItIsLost() {
    restartAfterAWorkerAndTheNextOrderAreLost();
  }

  /** The same for a task whose worker leaves. */
  @Test
  void taskOfALeavingWorkerRestartsThoughTheOrderToStartItIsLost() {
    restartAfterAWorkerLeavesAndTheNextOrderIsLost();
  }

  /**
   * Guards against the time of slow calls adding to the two leases in a row; each lost call counts
   * a full lease from when it failed.
   */
  @Test
  void taskOfALostWorkerRestartsInTimeThoughTheOrderIsLostAndCallsAreSlow() {
    slowDown(SLOW_CALL_MILLIS);
    restartAfterAWorkerAndTheNextOrderAreLost();
  }

  /** The same for a task whose worker leaves. */
  @Test
  void taskOfALeavingWorkerRestartsInTimeThoughTheOrderIsLostAndCallsAreSlow() {
    slowDown(SLOW_CALL_MILLIS);
    restartAfterAWorkerLeavesAndTheNextOrderIsLost();
  }

  private void restartAfterAWorkerAndTheNextOrderAreLost() {
    world.workers.runMillis = LONG_RUN_MILLIS;
    fill();
    String lost = workersOf("l").get(0);
    TaskId task = taskAt("l", lost);
    lose(lost);
    loseWorkerWhereOrdered(task, "frees capacity for " + task);
    run(4 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  private void restartAfterAWorkerLeavesAndTheNextOrderIsLost() {
    world.workers.runMillis = LONG_RUN_MILLIS;
    fill();
    String leaving = workersOf("l").get(0);
    TaskId task = taskAt("l", leaving);
    world.drainWorker(leaving, DRAIN_MILLIS);
    loseWorkerWhereOrdered(task, " stop " + task + " ");
    run(4 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /** Guards against counting a stopped run until its lease ends, as its end was not reported. */
  @ParameterizedTest
  @CsvSource({"1000, 2", "1000, 650", "60000, 2", "60000, 650"})
  void taskOfALeavingWorkerWhoseAnswersAreLostRestarts(long shortRunMillis, long replyMillis) {
    world.workers.runMillis = shortRunMillis;
    fill();
    slowDown(replyMillis);
    String leaving = workersOf("l").get(0);
    TaskId task = taskAt("l", leaving);
    int before = world.log.size();
    world.drainWorker(leaving, DRAIN_MILLIS);
    whenLogged(
        " stop " + task + " ", before, line -> world.workers.get(leaving).answersLost = true);
    run(3 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /**
   * Guards against a wait that begins anew whenever the reserved worker leaves one call unanswered,
   * here after its runs were preempted, at one worker after the other.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, SLOW_CALL_MILLIS})
  void taskRestartsThoughEachReservedWorkerMissesACall(long replyMillis) {
    world.workers.runMillis = LONG_RUN_MILLIS;
    fill();
    slowDown(replyMillis);
    TaskId task = taskAt("l", workersOf("l").get(0));
    missCallsWherePreempted(task, world.log.size(), 4);
    lose(workersOf("l").get(0));
    run(3 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /** The whole of it: workers are lost and replaced, calls are slow, one task fits nowhere. */
  @ParameterizedTest
  @ValueSource(longs = {1_000, LONG_RUN_MILLIS})
  void tasksRestartWhileWorkersAreLostAndReplaced(long shortRunMillis) {
    world.workers.runMillis = shortRunMillis;
    world.submit(0, "x", step(WORKERS, 0, true, 1));
    world.time.runFor(1_000);
    fill();
    slowDown(SLOW_CALL_MILLIS);
    for (int i = 0; i < 3; i++) {
      lose("w" + i);
    }
    replace(WORKERS / 2, WORKERS);
    run(4 * MAX_RESTART_MILLIS);
    assertAllRestarted(MAX_RESTART_MILLIS);
  }

  /** Starts long-running tasks, and then short jobs without end until the service is full. */
  private void fill() {
    fill(step(WIDE_TASKS, WIDE_CPU, true, 0));
  }

  private void fill(Step lasting) {
    tasks = lasting.count();
    world.submit(0, "l", lasting);
    world.time.runFor(1_500);
    for (int i = 0; i < tasks; i++) {
      assertTrue(world.workers.isRunning(new TaskId("l", 0, 0, i)));
    }
    submitShort();
    world.time.runFor(4_000);
    long capacity = WORKERS * CellWorld.WORKER_CAPACITY.cpuMillis();
    long taken = world.workers.reservedCpu();
    assertTrue(taken * 100 >= capacity * 95, () -> taken + " of " + capacity + " are taken");
  }

  private void submitShort() {
    world.submit(0, "s" + shortJobs++, step(8, SHORT_CPU, false, 0));
    world.time.after(SUBMIT_INTERVAL_MILLIS, this::submitShort);
  }

  private void slowDown(long replyMillis) {
    for (int i = 0; i < WORKERS; i++) {
      world.workers.get("w" + i).replyMillis = replyMillis;
    }
  }

  /** Disconnects a worker without notice. */
  private void lose(String worker) {
    world.workers.get(worker).disconnected = true;
    world.store.remove("workers", worker);
  }

  /** Replaces a range of workers by new ones, two a second. */
  private void replace(int from, int to) {
    if (from == to) {
      return;
    }
    world.drainWorker("w" + from, DRAIN_MILLIS);
    String added = "v" + newWorkers++;
    world.workers.add(added);
    world.registerWorker(added);
    world.time.after(500, () -> replace(from + 1, to));
  }

  /** Disconnects the worker where runs are first preempted for a task. */
  private void loseWorkerWherePreempted(TaskId task, int logSize) {
    whenLogged("frees capacity for " + task, logSize, line -> lose(workerIn(line)));
  }

  /** Loses an answer of each of the next workers where runs are preempted for a task. */
  private void missCallsWherePreempted(TaskId task, int logSize, int count) {
    whenLogged(
        "frees capacity for " + task,
        logSize,
        line -> {
          String worker = workerIn(line);
          world.holder().workerView.lostHoldReplies.put(worker, 1);
          int next = world.log.size();
          if (count > 1) {
            world.time.after(ORDERS_MILLIS, () -> missCallsWherePreempted(task, next, count - 1));
          }
        });
  }

  /**
   * Disconnects the worker that is reserved for a task right before the task is ordered there.
   *
   * @param text text of a log line after which the task is the next one to be ordered
   */
  private void loseWorkerWhereOrdered(TaskId task, String text) {
    whenLogged(
        text,
        world.log.size(),
        line ->
            world
                .holder()
                .workerView
                .beforeNextStart(() -> lose(workerIn(lines(" start " + task + " ").get(1)))));
  }

  /** Runs an action once when the first line that contains a text is logged. */
  private void whenLogged(String text, int from, Consumer<String> action) {
    for (String line : List.copyOf(world.log.subList(from, world.log.size()))) {
      if (line.contains(text)) {
        action.accept(line);
        return;
      }
    }
    int size = world.log.size();
    world.time.after(STEP_MILLIS, () -> whenLogged(text, size, action));
  }

  /** Returns the worker in a line of the log of what was decided for a task. */
  private static String workerIn(String line) {
    return line.split(" ", -1)[4];
  }

  /** Runs for a time and records for each task the longest time in which it did not run. */
  private void run(long millis) {
    for (long i = 0; i < millis; i += STEP_MILLIS) {
      world.time.runFor(STEP_MILLIS);
      long now = world.time.millis();
      for (int j = 0; j < tasks; j++) {
        TaskId task = new TaskId("l", 0, 0, j);
        long since = lastSeen.getOrDefault(task, now);
        longestGap.merge(task, now - since, Math::max);
        lastSeen.put(task, world.workers.isRunning(task) ? now : since);
      }
    }
  }

  private void assertAllRestarted(long maxMillis) {
    assertEquals(List.of(), world.workers.violations);
    for (int i = 0; i < tasks; i++) {
      TaskId task = new TaskId("l", 0, 0, i);
      long gap = longestGap.getOrDefault(task, 0L);
      assertTrue(gap <= maxMillis, () -> gap + " ms\n" + text(world.log, task));
    }
  }

  /** Returns how many of the narrow tasks are at work. */
  private int countAtWork() {
    int count = 0;
    for (int i = 0; i < NARROW_TASKS; i++) {
      count += world.workers.isAtWork(new TaskId("l", 0, 0, i)) ? 1 : 0;
    }
    return count;
  }

  /** Returns the workers at which tasks of a job were started. */
  private List<String> workersOf(String job) {
    List<String> found = new ArrayList<>();
    for (Start start : world.workers.startLog) {
      if (start.run().task().job().equals(job) && !found.contains(start.worker())) {
        found.add(start.worker());
      }
    }
    return found;
  }

  private TaskId taskAt(String job, String worker) {
    return world.workers.startLog.stream()
        .filter(start -> start.worker().equals(worker) && start.run().task().job().equals(job))
        .findFirst()
        .orElseThrow()
        .run()
        .task();
  }

  private List<String> lines(String text) {
    return world.log.stream().filter(line -> line.contains(text)).toList();
  }

  private static int indexOf(List<String> log, String text) {
    for (int i = 0; i < log.size(); i++) {
      if (log.get(i).contains(text)) {
        return i;
      }
    }
    return Integer.MAX_VALUE;
  }

  private static String text(List<String> log, TaskId task) {
    return String.join("\n", log.stream().filter(line -> line.contains(task.toString())).toList());
  }
}
