package org.hemlockpick.cell.speculation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the limits between runs that get a copy and those that do not. */
class RemainingTimePolicyTest {
  private static final long EXPECTED_MILLIS = 1_000;

  private static RunState run(int task, long elapsedMillis, int percent) {
    return new RunState(task, elapsedMillis, percent, 0, false, false);
  }

  private static List<Integer> choose(int tasks, int done, int copies, RunState... runs) {
    StepState step = new StepState(tasks, done, copies, EXPECTED_MILLIS, List.of(runs));
    return new RemainingTimePolicy().choose(step).stream().map(RunState::task).toList();
  }

  /** Guards against copies of runs that are about to end. */
  @Test
  void aRunThatIsDoneSoonerThanACopyGetsNone() {
    assertEquals(List.of(), choose(2, 1, 0, run(0, 2_000, 65)));
    assertEquals(List.of(0), choose(2, 1, 0, run(0, 2_000, 55)));
  }

  /** Guards against copies of many runs of a step that has just begun. */
  @Test
  void aRunGetsNoneBeforeHalfOfTheStepIsDoneOrItIsOverdue() {
    assertEquals(List.of(), choose(4, 1, 0, run(0, 1_400, 10)));
    assertEquals(List.of(0), choose(4, 2, 0, run(0, 1_400, 10)));
    assertEquals(List.of(0), choose(4, 1, 0, run(0, 1_500, 10)));
  }

  /** Guards against more copies than a tenth of the tasks, and against none in small steps. */
  @Test
  void atMostATenthOfTheTasksHasACopyButOneMay() {
    RunState[] runs = {run(0, 2_000, 40), run(1, 2_000, 10), run(2, 2_000, 20)};
    assertEquals(List.of(1), choose(6, 3, 0, runs));
    assertEquals(List.of(), choose(6, 3, 1, runs));
    assertEquals(List.of(1, 2), choose(20, 17, 0, runs));
  }

  /** Guards against an old report that makes a run look slower than it is. */
  @Test
  void progressCountsAtTheTimeOfItsReport() {
    assertEquals(List.of(), choose(2, 1, 0, new RunState(0, 1_500, 50, 700, false, false)));
    assertEquals(List.of(), choose(2, 1, 0, new RunState(0, 1_600, 0, 1_600, false, false)));
  }

  /** Guards against waiting for a worker that may be lost. */
  @Test
  void aRunAtASilentWorkerGetsACopy() {
    assertEquals(List.of(0), choose(2, 1, 0, new RunState(0, 900, 80, 500, true, false)));
  }

  /** Guards against a copy from the start being expected of one that goes on from a checkpoint. */
  @Test
  void aCopyThatResumesIsWorthItSooner() {
    assertEquals(List.of(), choose(2, 1, 0, new RunState(0, 2_000, 65, 0, false, false)));
    assertEquals(List.of(0), choose(2, 1, 0, new RunState(0, 2_000, 65, 0, false, true)));
  }
}
