package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests that no filler stays paused for longer than there is a reason for it. */
class PaceBoundsTest {
  private static final int TARGET = 50;
  private static final long REPORT_MILLIS = 450;

  private final PacePort port = new PacePort();
  private final RunFactory factory = new RunFactory(TARGET);
  private final InterferenceModel interference = new InterferenceModel();
  private final PaceController pace =
      new PaceController(
          1, port, (run, reason) -> false, interference, (kind, subject, outcome, reason) -> {});
  private final Worker worker = RunFactory.worker("w");
  private final Run serving = factory.run(worker, "s", true);
  private final Run filler = factory.run(worker, "f", false);

  /** Reports calm, or any other tail, once each interval for a time in milliseconds. */
  private void report(int tailMillis, long millis) {
    for (long passed = 0; passed < millis; passed += REPORT_MILLIS) {
      interference.decay(REPORT_MILLIS);
      RunFactory.report(serving, tailMillis);
      RunFactory.report(filler, port.applied == 0 ? 0 : 9_000);
      pace.onReport(worker, task -> false);
    }
  }

  private void learnHarm() {
    RunFactory.report(filler, 9_000);
    RunFactory.report(serving, 30);
    RunFactory.report(serving, 400);
    interference.learn(worker);
    RunFactory.report(serving, 40);
  }

  /** Guards against a filler that stays paused as the answer to the order to pause it was lost. */
  @Test
  void fillerIsContinuedThoughTheAnswerToItsPauseWasLost() {
    learnHarm();
    port.answersLost = true;
    pace.onReport(worker, task -> false);
    assertEquals(0, port.applied);
    port.answersLost = false;
    report(10, 60_000);
    assertEquals(100, port.applied);
  }

  /** Guards against a filler that stays paused as the holder that paused it has gone. */
  @Test
  void fillerThatAnEarlierHolderPausedIsContinued() {
    port.applied = 0;
    report(10, 60_000);
    assertEquals(100, port.applied);
  }

  /** Guards against a filler that stays paused for harm that is no longer believed. */
  @Test
  void fillerIsContinuedAtLeastInPartOnceItsImageIsNotHeldHarmful() {
    learnHarm();
    pace.onReport(worker, task -> false);
    assertEquals(0, port.applied);
    report(38, 60_000);
    assertTrue(port.applied > 0, () -> "paced to " + port.applied + "%");
  }

  /** A worker that carries out orders on the pace of its only filler, and may not answer them. */
  private static final class PacePort implements WorkerPort {
    private int applied = 100;
    private boolean answersLost;

    @Override
    public void pace(
        Target target, RunId run, int percent, long token, Consumer<OrderReply> handler) {
      applied = percent;
      handler.accept(new OrderReply(answersLost ? OrderOutcome.LOST : OrderOutcome.ACCEPTED, 1));
    }

    @Override
    public void start(Target target, StartOrder order, Consumer<OrderReply> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void stop(Target target, RunId run, long token, Consumer<OrderReply> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void hold(Target target, HoldCall call, Consumer<HoldReply> handler) {
      throw new UnsupportedOperationException();
    }
  }
}
