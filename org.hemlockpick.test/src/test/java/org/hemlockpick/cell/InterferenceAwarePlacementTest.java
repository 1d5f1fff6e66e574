package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests for which reasons a filler is not placed on a worker that is eligible for it. */
class InterferenceAwarePlacementTest {
  private static final int TARGET = 50;

  private final InterferenceModel interference = new InterferenceModel();
  private final InterferenceAwarePlacement placement = new InterferenceAwarePlacement(interference);
  private final RunFactory factory = new RunFactory(TARGET);
  private final Worker worker = RunFactory.worker("w");
  private final Run serving = factory.run(worker, "s", true);
  private final Task filler = factory.run(RunFactory.worker("other"), "f", false).task();

  private void assertRefused(IneligibleReason reason) {
    assertEquals(reason, placement.refusal(filler, worker));
    assertNull(placement.choose(filler, List.of(worker)));
  }

  @Test
  void fillerIsPlacedBesideACalmServingTask() {
    RunFactory.report(serving, TARGET / 2);
    assertNull(placement.refusal(filler, worker));
    assertEquals(worker, placement.choose(filler, List.of(worker)));
  }

  /** Guards against a wait for a belief that is shown as a lack of capacity. */
  @Test
  void workerWhoseServingTasksItIsBelievedToHarmIsRefused() {
    RunFactory.report(factory.run(worker, "f", false), 9_000);
    RunFactory.report(serving, 30);
    RunFactory.report(serving, 400);
    interference.learn(worker);
    RunFactory.report(serving, TARGET / 2);
    assertRefused(IneligibleReason.HARM_EXPECTED);
  }

  @Test
  void workerWithAServingTaskNearItsTargetIsRefused() {
    RunFactory.report(serving, TARGET - 1);
    assertRefused(IneligibleReason.HIGH_TAIL_LATENCY);
  }

  @Test
  void workerWhoseUnusedCpuIsPromisedToOtherFillersIsRefused() {
    for (int i = 0; i < 6; i++) {
      factory.run(worker, "other", false);
    }
    assertRefused(IneligibleReason.TOO_LITTLE_UNUSED_CPU);
  }

  /** Tasks that are no fillers have the CPU that they want reserved. */
  @Test
  void servingTaskIsRefusedByNoWorker() {
    RunFactory.report(serving, 10 * TARGET);
    assertNull(placement.refusal(serving.task(), worker));
  }
}
