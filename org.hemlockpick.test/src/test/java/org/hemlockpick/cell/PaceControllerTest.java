package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hemlockpick.fakes.VirtualTime;
import org.junit.jupiter.api.Test;

/**
 * Tests that fillers of a harmful image are slowed down at a worker whose serving tasks are near
 * their target, and are stopped if they run elsewhere or if that does not help.
 */
class PaceControllerTest {
  private static final int TARGET = 50;
  private static final long REPORT_MILLIS = 450;
  private static final int SLOW_PERCENT = 25;

  /** Time after which a slow filler that fits elsewhere is stopped. */
  private static final long MAX_SLOW_MILLIS = 2_000;

  /** Time within which fillers that harm are stopped, if nothing else helps. */
  private static final long MAX_HARM_MILLIS = 3_500;

  private final FakeWorkers workers =
      new FakeWorkers(new VirtualTime(0), 1, CellWorld.LEASE_MILLIS);
  private final RunFactory factory = new RunFactory(TARGET);
  private final InterferenceModel interference = new InterferenceModel();
  private final SettableClock clock = new SettableClock();
  private final List<Run> stopped = new ArrayList<>();
  private final PaceController pace =
      new PaceController(
          1,
          workers.view(),
          (run, reason) -> stopped.add(run),
          interference,
          clock,
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
    interference.learn(worker);
    RunFactory.report(serving, 400);
    interference.learn(worker);
  }

  /** Reports a tail, and what the fillers use at their pace, for a time in milliseconds. */
  private void report(long tail, long millis, boolean fitsElsewhere) {
    for (long passed = 0; passed < millis; passed += REPORT_MILLIS) {
      clock.millis += REPORT_MILLIS;
      RunFactory.report(serving, tail, clock.millis);
      pace.onReport(worker, task -> fitsElsewhere);
    }
  }

  @Test
  void harmfulFillersAreSlowedDownBeforeTheTargetIsReached() {
    Run first = harmfulFiller();
    Run second = harmfulFiller();
    reportHarm();
    report(40, REPORT_MILLIS, false);
    assertEquals(List.of(), stopped);
    assertTrue(first.pace() <= SLOW_PERCENT, () -> "at " + first.pace() + "%");
    assertTrue(second.pace() <= SLOW_PERCENT, () -> "at " + second.pace() + "%");
  }

  @Test
  void slowFillersAreStoppedIfTheyFitElsewhere() {
    harmfulFiller();
    harmfulFiller();
    reportHarm();
    report(40, REPORT_MILLIS, true);
    assertEquals(0, stopped.size());
    report(40, MAX_SLOW_MILLIS, true);
    assertEquals(2, Set.copyOf(stopped).size());
  }

  @Test
  void slowFillersGoOnIfTheyFitNowhereElse() {
    harmfulFiller();
    reportHarm();
    report(40, 10 * MAX_SLOW_MILLIS, false);
    assertEquals(List.of(), stopped);
  }

  @Test
  void allHarmfulFillersAreStoppedAtAWorkerThatStaysOverItsTarget() {
    harmfulFiller();
    harmfulFiller();
    reportHarm();
    report(400, MAX_HARM_MILLIS, false);
    assertEquals(2, Set.copyOf(stopped).size());
  }

  /** Guards against fillers that are slowed down for the load that a serving task has anyway. */
  @Test
  void harmlessFillerRunsAtFullPaceBesideABusyServingTask() {
    Run filler = harmfulFiller();
    report(20, 20 * REPORT_MILLIS, false);
    report(31, REPORT_MILLIS, false);
    assertEquals(100, filler.pace());
  }
}
