package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.hemlockpick.cell.WorkerPort.RunReport;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Tests that the cell makes no more tasks of a long-running step unavailable at a time than the
 * step allows.
 */
class DisruptionBudgetTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final int TASKS = 9;
  private static final long DRAIN_MILLIS = 8_000;

  /** Time before a draining worker leaves by which its tasks are stopped in any case. */
  private static final long FORCED_MILLIS = 2_500;

  private final StepRun step = stepRun(2);
  private final Worker worker = RunFactory.worker("w");

  private static Step longRunning(int count, @Nullable Integer maxUnavailable) {
    return new Step(
        count,
        new ResourceAmounts(2_000, 1_000, 0),
        500,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        0,
        false,
        true,
        "image",
        0,
        false,
        maxUnavailable);
  }

  private static StepRun stepRun(@Nullable Integer maxUnavailable) {
    Job job = new Job(CellWorld.job("j", 0, longRunning(4, maxUnavailable)), 0, false);
    job.openDueOccurrences(0);
    return job.stepRuns().get(0);
  }

  private Run start(StepRun owner, int index, int percent) {
    Task task = owner.tasks().get(index);
    Run run = new Run(task, 1, worker, Run.State.RUNNING, 0);
    task.setRun(run);
    run.update(new RunReport(run.id(), "", percent, 0), 0);
    return run;
  }

  @Test
  void runMayBeStoppedWhileEnoughOthersAreAtWork() {
    Run run = start(step, 0, 100);
    start(step, 1, 100);
    start(step, 2, 100);
    assertTrue(DisruptionBudget.allowsStop(run));
  }

  @Test
  void runMayNotBeStoppedWhileTooManyOthersAreAwayForAnyCause() {
    Run run = start(step, 0, 100);
    start(step, 1, 100);
    Run starting = start(step, 2, 40);
    assertFalse(DisruptionBudget.allowsStop(run));
    starting.update(new RunReport(starting.id(), "", 100, 0), 0);
    assertTrue(DisruptionBudget.allowsStop(run));
    starting.setState(Run.State.STOPPING);
    assertFalse(DisruptionBudget.allowsStop(run));
  }

  @Test
  void runThatIsNotAtWorkMayAlwaysBeStopped() {
    assertTrue(DisruptionBudget.allowsStop(start(step, 0, 40)));
  }

  @Test
  void stepWithoutALimitIsNotLimited() {
    assertTrue(DisruptionBudget.allowsStop(start(stepRun(null), 0, 100)));
  }

  @Test
  void stepThatAllowsNoneIsNeverStopped() {
    StepRun strict = stepRun(0);
    for (int i = 1; i < 4; i++) {
      start(strict, i, 100);
    }
    assertFalse(DisruptionBudget.allowsStop(start(strict, 0, 100)));
  }

  /**
   * Guards against stopping all tasks of a step on a worker that leaves at once, though there is
   * time to move them one after the other.
   */
  @Test
  void tasksOfAWorkerThatLeavesAreMovedWithinTheBudget() {
    CellWorld world = new CellWorld(20261204, 2, 4);
    world.workers.runMillis = 600_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "l", longRunning(TASKS, 1));
    world.time.runFor(SETTLE_MILLIS);
    String leaving = world.workers.startLog.get(0).worker();
    world.drainWorker(leaving, DRAIN_MILLIS);
    int mostAway = 0;
    for (long left = DRAIN_MILLIS; left > FORCED_MILLIS; left -= 10) {
      world.time.runFor(10);
      mostAway = Math.max(mostAway, away(world).size());
    }
    assertEquals(1, mostAway, () -> String.join("\n", world.log));
    world.time.runFor(FORCED_MILLIS + SETTLE_MILLIS);
    assertEquals(Set.of(), away(world), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations);
  }

  /** Returns the tasks that are not at work. */
  private static Set<Integer> away(CellWorld world) {
    Set<Integer> away = new TreeSet<>();
    for (int i = 0; i < TASKS; i++) {
      if (!world.workers.isAtWork(new TaskId("l", 0, 0, i))) {
        away.add(i);
      }
    }
    return away;
  }
}
