package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.fakes.VirtualTime;
import org.junit.jupiter.api.Test;

/**
 * Tests that fillers of a harmful image are stopped or paused at a worker whose serving tasks are
 * near their target.
 */
class PaceControllerTest {
  private static final int TARGET = 50;

  private final FakeWorkers workers =
      new FakeWorkers(new VirtualTime(0), 1, CellWorld.LEASE_MILLIS);
  private final RunFactory factory = new RunFactory(TARGET);
  private final InterferenceModel interference = new InterferenceModel();
  private final List<Run> stopped = new ArrayList<>();
  private final PaceController pace =
      new PaceController(
          1,
          workers.view(),
          (run, reason) -> stopped.add(run),
          interference,
          (kind, subject, outcome, reason) -> {});

  private final Worker worker = RunFactory.worker("w");
  private final Run serving = factory.run(worker, "s", true);

  PaceControllerTest() {
    workers.add("w");
  }

  private Run harmfulFiller() {
    Run filler = factory.run(worker, "f", false);
    RunFactory.report(filler, 9_000);
    return filler;
  }

  /** Reports a tail that has grown to several times its target. */
  private void reportHarm() {
    RunFactory.report(serving, 30);
    RunFactory.report(serving, 400);
    interference.learn(worker);
  }

  @Test
  void harmfulFillersAreStoppedBeforeTheTargetIsReachedIfTheyFitElsewhere() {
    harmfulFiller();
    harmfulFiller();
    reportHarm();
    RunFactory.report(serving, 40);
    pace.onReport(worker, task -> true);
    assertEquals(2, stopped.size());
  }

  @Test
  void fillersArePausedNearTheTargetIfTheyFitNowhereElse() {
    Run filler = harmfulFiller();
    reportHarm();
    RunFactory.report(serving, 40);
    pace.onReport(worker, task -> false);
    assertEquals(List.of(), stopped);
    assertEquals(0, filler.pace());
  }

  @Test
  void allHarmfulFillersAreStoppedAtAWorkerOverItsTarget() {
    harmfulFiller();
    harmfulFiller();
    reportHarm();
    pace.onReport(worker, task -> false);
    assertEquals(2, stopped.size());
  }
}
