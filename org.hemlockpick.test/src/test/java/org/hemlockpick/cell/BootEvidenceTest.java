package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests what shows which boot of a worker is the later one. */
class BootEvidenceTest {
  private static final long BOOT = 2_000;
  private static final long OTHER_BOOT = 1_000;
  private static final int MAX_ENDED = 8;

  private final BootEvidence boots = new BootEvidence();

  /** Guards against taking the answer to an earlier call for that of a later boot. */
  @Test
  void onlyAnswersToCallsAfterTheKnownBootWasHeardOfAreConclusive() {
    boots.setKnown(100);
    assertFalse(boots.isConclusive(99));
    assertFalse(boots.isConclusive(100));
    assertTrue(boots.isConclusive(101));
  }

  /**
   * Guards against passing over the next boot of a worker known from an earlier holder's roster.
   */
  @Test
  void everyAnswerIsConclusiveWhereTheKnownBootIsOfAnEarlierHolder() {
    assertTrue(boots.isConclusive(0));
  }

  /** Guards against ending a doubt by an answer to a call from before it. */
  @Test
  void doubtEndsByTheAnswerToALaterCall() {
    assertTrue(boots.doubt(OTHER_BOOT, 100));
    boots.onConfirmed(100);
    assertTrue(boots.isInDoubt());
    assertFalse(boots.hasEnded(OTHER_BOOT));
    assertFalse(boots.doubt(OTHER_BOOT, 200), "it lasts from the first reading on");
    boots.onConfirmed(101);
    assertFalse(boots.isInDoubt());
    assertTrue(boots.hasEnded(OTHER_BOOT));
  }

  /** Guards against a doubt that outlasts the boot that is in doubt. */
  @Test
  void doubtEndsWhenAnotherBootIsKnown() {
    boots.doubt(OTHER_BOOT, 100);
    boots.setKnown(150);
    assertFalse(boots.isInDoubt());
    assertFalse(boots.hasEnded(OTHER_BOOT));
  }

  /** Guards against memory that grows with each restart of a worker. */
  @Test
  void onlyTheLastEndedBootsAreRemembered() {
    for (int i = 0; i <= MAX_ENDED; i++) {
      boots.addEnded(BOOT + i);
      boots.addEnded(BOOT + i);
    }
    assertFalse(boots.hasEnded(BOOT));
    for (int i = 1; i <= MAX_ENDED; i++) {
      assertTrue(boots.hasEnded(BOOT + i));
    }
  }

  /** Guards against acknowledging the ends of one boot to the next one, which numbers its own. */
  @Test
  void nothingIsAcknowledgedInDoubt() {
    Worker worker = RunFactory.worker("w0");
    worker.onAnswer(1_000);
    worker.completions().setRecorded(5);
    assertEquals(5, worker.boots().completionToAcknowledge(worker, 1_100));
    worker.boots().doubt(OTHER_BOOT, 1_100);
    assertEquals(0, worker.boots().completionToAcknowledge(worker, 1_100));
    worker.boots().onConfirmed(1_101);
    worker.onAnswer(1_101);
    assertEquals(5, worker.boots().completionToAcknowledge(worker, 1_110));
    assertEquals(0, worker.boots().completionToAcknowledge(worker, 1_101 + 700));
  }
}
