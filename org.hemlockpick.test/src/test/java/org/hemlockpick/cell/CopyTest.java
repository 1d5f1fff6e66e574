package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests copies of the one straggler of a step, whose other tasks end soon. */
class CopyTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final int WORKERS = 24;
  private static final int TASKS = 10;
  private static final long USUAL_MILLIS = 500;
  private static final long STRAGGLER_MILLIS = 20_000;

  /** Time after which the straggler has a copy. */
  private static final long COPIED_MILLIS = 1_300;

  private static final TaskId STRAGGLER = new TaskId("a", 0, 0, 0);

  private final CellWorld world = new CellWorld(20261206, 3, WORKERS);
  private final Set<TaskId> started = new HashSet<>();

  /** Run time of the copy. */
  private long copyMillis = USUAL_MILLIS;

  private long stragglerMillis = STRAGGLER_MILLIS;

  static Step step(int count, boolean speculative, Integer... dependsOn) {
    return wideStep(count, speculative, 2_000, dependsOn);
  }

  private static Step wideStep(
      int count, boolean speculative, long cpuMillis, Integer... dependsOn) {
    return new Step(
        count,
        new ResourceAmounts(cpuMillis, 1_000, 0),
        USUAL_MILLIS,
        List.of(dependsOn),
        false,
        false,
        false,
        null,
        null,
        0,
        speculative,
        false,
        "image",
        0,
        false,
        null);
  }

  @BeforeEach
  void settle() {
    world.workers.runTimes =
        (run, worker) -> {
          boolean isFirst = started.add(run.task());
          if (!run.task().equals(STRAGGLER)) {
            return USUAL_MILLIS;
          }
          return isFirst ? stragglerMillis : copyMillis;
        };
    world.time.runFor(SETTLE_MILLIS);
  }

  private List<Start> starts() {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().equals(STRAGGLER))
        .toList();
  }

  private String workerOf(int start) {
    return starts().get(start).worker();
  }

  private String log() {
    return String.join("\n", world.log);
  }

  private long counted(String name) {
    return world.holder().metrics().counted(name);
  }

  /** Starts the job and runs until the straggler has a copy. */
  private void startUntilCopied() {
    world.submit(0, "a", step(TASKS, true), step(1, false, 0));
    world.time.runFor(COPIED_MILLIS);
    assertEquals(2, starts().size(), this::log);
    assertTrue(world.workers.isRunning(STRAGGLER));
  }

  private void assertCompleted(int runsOfStraggler) {
    assertEquals(JobState.COMPLETED, world.state("a"), this::log);
    assertEquals(runsOfStraggler, starts().size(), this::log);
    assertFalse(world.workers.isAnyRunning("a"), this::log);
    assertEquals(List.of(), world.workers.violations);
  }

  @Test
  void copyIsFirst() {
    startUntilCopied();
    world.time.runFor(3_000);
    assertCompleted(2);
    assertFalse(workerOf(0).equals(workerOf(1)));
    assertTrue(starts().get(1).run().attempt() > starts().get(0).run().attempt());
    assertEquals(1, counted("copies.started"));
    assertEquals(1, counted("copies.first"));
    assertEquals(1, world.holder().metrics().recorded("copies.wasted.millis").size(), this::log);
  }

  /** Guards against copies of tasks that may run once at a time only. */
  @Test
  void tasksThatMayNotRunTwiceGetNoCopies() {
    world.submit(0, "a", step(TASKS, false));
    world.time.runFor(STRAGGLER_MILLIS + 2_000);
    assertCompleted(1);
    assertEquals(0, counted("copies.started"));
  }

  @Test
  void originalIsFirst() {
    stragglerMillis = 3_000;
    copyMillis = STRAGGLER_MILLIS;
    startUntilCopied();
    world.time.runFor(4_000);
    assertCompleted(2);
    assertEquals(0, counted("copies.first"));
  }

  /** Guards against a second completion of a task: the stop of the other run is not carried out. */
  @Test
  void bothRunsEnd() {
    stragglerMillis = 2_500;
    startUntilCopied();
    world.workers.get(workerOf(0)).stopsToForget = 100;
    world.time.runFor(4_000);
    assertCompleted(2);
    assertEquals(0, world.workers.get(workerOf(0)).unacknowledgedCompletions());
  }

  /** Guards against a restart, and against more copies that use up the attempts of the task. */
  @Test
  void failedCopyCountsOnceAndStartsNothing() {
    stragglerMillis = 6_000;
    copyMillis = STRAGGLER_MILLIS;
    startUntilCopied();
    world.workers.get(workerOf(1)).endRunsOf("a", CompletionKind.FAILED);
    world.time.runFor(2_500);
    assertEquals(1, world.failures("a"), this::log);
    assertEquals(2, starts().size(), this::log);
    world.time.runFor(4_000);
    assertCompleted(2);
  }

  /** Guards against a restart while the copy is at work. */
  @Test
  void failedOriginalCountsOnceAndTheCopyGoesOn() {
    copyMillis = 1_200;
    startUntilCopied();
    world.workers.get(workerOf(0)).endRunsOf("a", CompletionKind.FAILED);
    world.time.runFor(500);
    assertEquals(1, world.failures("a"), this::log);
    assertEquals(2, starts().size(), this::log);
    world.time.runFor(4_000);
    assertCompleted(2);
  }

  /** Guards against a task that stays without a run when both of its runs fail. */
  @Test
  void taskIsRestartedOnceBothRunsHaveFailed() {
    copyMillis = STRAGGLER_MILLIS;
    startUntilCopied();
    copyMillis = USUAL_MILLIS;
    world.workers.get(workerOf(1)).endRunsOf("a", CompletionKind.FAILED);
    world.workers.get(workerOf(0)).endRunsOf("a", CompletionKind.FAILED);
    world.time.runFor(3_000);
    assertCompleted(3);
  }

  /** Guards against a failed copy being the failure that fails the job. */
  @Test
  void noCopyIsStartedWhenOneMoreFailureIsTheLast() {
    world.configure(CellWorld.queue(CellWorld.QUEUE, "/topup/", CellWorld.SERVICE, 1));
    world.time.runFor(2_000);
    stragglerMillis = 3_000;
    world.submit(0, "a", step(TASKS, true));
    world.time.runFor(5_000);
    assertCompleted(1);
  }

  /** Guards against the job waiting for the lease of a lost worker to expire. */
  @Test
  void workerOfTheOriginalIsLost() {
    copyMillis = 2_000;
    startUntilCopied();
    world.workers.get(workerOf(0)).disconnected = true;
    world.time.runFor(3_500);
    assertEquals(JobState.COMPLETED, world.state("a"), this::log);
    assertEquals(List.of(), world.workers.violations);
  }

  /** Guards against a restart while the original is at work. */
  @Test
  void workerOfTheCopyIsLost() {
    stragglerMillis = 6_000;
    copyMillis = STRAGGLER_MILLIS;
    startUntilCopied();
    String lost = workerOf(1);
    world.workers.get(lost).disconnected = true;
    world.store.remove("workers", lost);
    world.time.runFor(8_000);
    assertEquals(JobState.COMPLETED, world.state("a"), this::log);
    assertEquals(List.of(), world.workers.violations);
  }

  /** Guards against a successor that stops one of two runs, or starts a third. */
  @Test
  void bothRunsGoOnWhenTheHolderChanges() {
    copyMillis = 9_000;
    startUntilCopied();
    world.holder().kill();
    world.time.runFor(6_000);
    assertEquals(2, starts().size(), this::log);
    assertEquals(2, runningCopies(), this::log);
    world.time.runFor(5_000);
    assertCompleted(2);
  }

  /** Returns how many runs of the straggler are at work. */
  private long runningCopies() {
    return world.workers.all().stream().filter(model -> model.countOfStep(STRAGGLER) > 0).count();
  }

  /**
   * Guards against a successor that restarts a task of which it has found one run, while it does
   * not know of the other.
   */
  @Test
  void successorWaitsForAWorkerThatMayHaveTheOtherRun() {
    copyMillis = STRAGGLER_MILLIS;
    startUntilCopied();
    world.workers.get(workerOf(1)).disconnected = true;
    world.holder().kill();
    world.workers.get(workerOf(0)).endRunsOf("a", CompletionKind.FAILED);
    world.time.runFor(2_000);
    world.workers.get(workerOf(1)).disconnected = false;
    world.time.runFor(25_000);
    assertEquals(JobState.COMPLETED, world.state("a"), this::log);
    assertEquals(List.of(), world.workers.violations);
  }

  @Test
  void cancelStopsBothRuns() {
    copyMillis = STRAGGLER_MILLIS;
    startUntilCopied();
    world.disregard("a");
    world.holder().process().cancel(CellWorld.address("a"), "caller", 1_000, reply -> {});
    world.time.runFor(1_000);
    assertEquals(JobState.CANCELED, world.state("a"));
    assertFalse(world.workers.isAnyRunning("a"), this::log);
  }

  /** Guards against a task that waits for a copy of which it is not known whether it runs. */
  @Test
  void originalGoesOnWhenTheOrderOfTheCopyIsUnanswered() {
    stragglerMillis = 6_000;
    copyMillis = STRAGGLER_MILLIS;
    world.submit(0, "a", step(TASKS, true), step(1, false, 0));
    world.time.runFor(600);
    world.holder().workerView.repliesLost = true;
    world.time.runFor(1_000);
    assertEquals(2, starts().size(), this::log);
    world.time.runFor(2_500);
    world.holder().workerView.repliesLost = false;
    world.time.runFor(4_000);
    assertCompleted(2);
  }

  /** Guards against copies that take the capacity for which tasks in time wait. */
  @ParameterizedTest
  @CsvSource({"false, 2", "true, 1"})
  void noCopyIsStartedWhileATaskInTimeWaits(boolean waits, int runsOfStraggler) {
    FakeWorkers.RunTimes usual = Objects.requireNonNull(world.workers.runTimes);
    world.workers.runTimes =
        (run, worker) ->
            run.task().job().equals("a") ? usual.millis(run, worker) : STRAGGLER_MILLIS;
    world.submit(0, "a", step(TASKS, true));
    world.time.runFor(100);
    long all = CellWorld.WORKER_CAPACITY.cpuMillis();
    world.submit(0, "b", wideStep(WORKERS, false, all - 2_000));
    world.time.runFor(300);
    if (waits) {
      long later = world.time.millis() + 60_000;
      world.submit(0, CellWorld.job("c", later, wideStep(1, false, all)));
    }
    world.time.runFor(2_500);
    assertEquals(runsOfStraggler, starts().size(), this::log);
  }

  /** Guards against more copies than the share of CPU that is theirs. */
  @Test
  void copiesUseASmallShareOfTheCpu() {
    world.workers.runTimes = (run, worker) -> STRAGGLER_MILLIS;
    for (int i = 0; i < 10; i++) {
      world.submit(0, "j" + i, step(2, true));
    }
    world.time.runFor(4_000);
    long cpu = WORKERS * CellWorld.WORKER_CAPACITY.cpuMillis();
    int copies = world.workers.starts.size() - 20;
    assertTrue(copies > 0, this::log);
    assertTrue(copies * 2_000L <= cpu / 20, () -> copies + " copies");
  }

  /** Guards against a second completion that is counted as a failure of a task that is done. */
  @Test
  void endsAfterTheFirstOneDoNothing() {
    startUntilCopied();
    RunId original = starts().get(0).run();
    world.workers.get(workerOf(0)).stopsToForget = 100;
    world.time.runFor(700);
    world.workers.get(workerOf(0)).endRunsOf("a", CompletionKind.FAILED);
    world.time.runFor(2_000);
    assertCompleted(2);
    assertEquals(0, world.failures("a"), () -> original + "\n" + log());
  }
}
