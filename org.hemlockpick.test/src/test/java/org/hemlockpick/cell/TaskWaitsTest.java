package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests when the wait of a task begins and ends. */
class TaskWaitsTest {
  private final JobTable jobs = new JobTable();
  private final TaskWaits waits = new TaskWaits(jobs);
  private final Job job =
      new Job(CellWorld.job("a", 0, CellWorld.step(1), CellWorld.step(1, 0)), 0, false);
  private final Worker worker = RunFactory.worker("w");

  TaskWaitsTest() {
    job.openDueOccurrences(0);
    jobs.add(job);
  }

  private Task task(int step) {
    return job.stepRuns().get(step).tasks().get(0);
  }

  private Run start(Task task, int attempt, Run.State state, long now) {
    Run run = new Run(task, attempt, worker, state, now);
    worker.add(run);
    task.setRun(run);
    return run;
  }

  private void end(Run run) {
    worker.remove(run);
    run.task().setRun(null);
  }

  /** Looks at the tasks and returns for how long one waits; null if it does not. */
  private @Nullable Long look(Task task, long now) {
    waits.run(now);
    TaskWaits.Wait wait = waits.all().get(task);
    return wait == null ? null : wait.millis(now);
  }

  /** Guards against a worker that refuses again and again and hides how long a task waits. */
  @Test
  void orderThatIsRefusedDoesNotEndTheWait() {
    assertEquals(0, look(task(0), 1_000));
    Run refused = start(task(0), 1, Run.State.STARTING, 1_500);
    assertEquals(1_000, look(task(0), 2_000));
    end(refused);
    assertEquals(2_000, look(task(0), 3_000));
  }

  @Test
  void waitBeginsAnewWhenARunHasEnded() {
    look(task(0), 1_000);
    Run run = start(task(0), 1, Run.State.RUNNING, 1_500);
    assertNull(look(task(0), 2_000));
    end(run);
    assertEquals(0, look(task(0), 3_000));
    assertEquals(500, look(task(0), 3_500));
  }

  /** A run that is over before the next look is known by when the task last ran. */
  @Test
  void waitBeginsAnewAfterARunBetweenTwoLooks() {
    look(task(0), 1_000);
    task(0).setLastRanAt(1_100);
    assertEquals(0, look(task(0), 1_200));
  }

  /** Until its run is known to be gone, a task cannot be placed. */
  @Test
  void waitOfAStoppedTaskCountsFromWhenItsRunIsGone() {
    Run run = start(task(0), 1, Run.State.RUNNING, 0);
    assertNull(look(task(0), 1_000));
    run.setState(Run.State.STOPPING);
    assertEquals(0, look(task(0), 2_000));
    assertEquals(1_000, look(task(0), 3_000));
    end(run);
    assertEquals(0, look(task(0), 4_000));
    assertEquals(1_000, look(task(0), 5_000));
  }

  @Test
  void taskDoesNotWaitBeforeTheStepsThatItDependsOnAreDone() {
    assertNull(look(task(1), 1_000));
    job.stepRuns().get(0).complete(task(0));
    assertEquals(0, look(task(1), 2_000));
    assertNull(look(task(0), 2_500));
  }
}
