package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.fakes.VirtualTime;
import org.junit.jupiter.api.Test;

/** Fillers of a harmful image leave a worker whose serving tasks are near their target. */
class PaceControllerTest {
  private static final int TARGET = 50;

  private final FakeWorkers workers =
      new FakeWorkers(new VirtualTime(0), 1, CellWorld.LEASE_MILLIS);
  private final RunMaker maker = new RunMaker(TARGET);
  private final InterferenceModel interference = new InterferenceModel();
  private final List<Run> stopped = new ArrayList<>();
  private final PaceController pace =
      new PaceController(
          1,
          workers.view(),
          (run, reason) -> stopped.add(run),
          interference,
          (kind, subject, outcome, reason) -> {});

  private final Worker worker = RunMaker.worker("w");
  private final Run serving = maker.run(worker, "s", true);

  PaceControllerTest() {
    workers.add("w");
  }

  private Run harmfulFiller() {
    Run filler = maker.run(worker, "f", false);
    RunMaker.report(filler, 9_000);
    return filler;
  }

  /** Brings a report in which the tail has grown to several times its target. */
  private void harm() {
    RunMaker.report(serving, 30);
    RunMaker.report(serving, 400);
    interference.learn(worker);
  }

  @Test
  void harmfulFillersLeaveForWorkersWithRoomBeforeTheTargetIsReached() {
    harmfulFiller();
    harmfulFiller();
    harm();
    RunMaker.report(serving, 40);
    pace.onReport(worker, task -> true);
    assertEquals(2, stopped.size());
  }

  @Test
  void fillersStandStillNearTheTargetIfThereIsNoRoomElsewhere() {
    Run filler = harmfulFiller();
    harm();
    RunMaker.report(serving, 40);
    pace.onReport(worker, task -> false);
    assertEquals(List.of(), stopped);
    assertEquals(0, filler.pace());
  }

  @Test
  void allHarmfulFillersLeaveAWorkerThatIsOverItsTarget() {
    harmfulFiller();
    harmfulFiller();
    harm();
    pace.onReport(worker, task -> false);
    assertEquals(2, stopped.size());
  }
}
