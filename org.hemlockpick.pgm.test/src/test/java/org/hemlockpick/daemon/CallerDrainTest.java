package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when a process that stops may end, while callers with open connections send calls. */
class CallerDrainTest {
  private static final long STOPPED_AT = 10_000;

  private final CallerDrain drain = new CallerDrain();

  private boolean isDrainedAfter(long millis) {
    return drain.isDrained(STOPPED_AT + millis, STOPPED_AT);
  }

  @Test
  void callersMayBeRoutedHereForAWhileAfterTheStop() {
    assertFalse(isDrainedAfter(2_990));
    assertTrue(isDrainedAfter(3_000));
  }

  /** Guards against a call that has arrived and that the loop has not seen yet. */
  @Test
  void aCallThatHasArrivedIsAnsweredFirst() {
    drain.onArrived(STOPPED_AT + 2_000);
    assertFalse(isDrainedAfter(3_100));
    drain.onAnswered(STOPPED_AT + 3_100);
    assertFalse(isDrainedAfter(3_200));
    assertTrue(isDrainedAfter(3_500));
  }

  /** A call that comes late shows that others may follow. */
  @Test
  void aLateCallPutsTheEndOff() {
    drain.onArrived(STOPPED_AT + 2_950);
    drain.onAnswered(STOPPED_AT + 2_960);
    assertFalse(isDrainedAfter(3_000));
    assertFalse(isDrainedAfter(3_359));
    assertTrue(isDrainedAfter(3_360));
  }
}
