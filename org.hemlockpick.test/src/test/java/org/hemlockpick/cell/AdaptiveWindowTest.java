package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.cell.CallWindow.Call;
import org.junit.jupiter.api.Test;

/** Tests that the limit on calls in flight follows the replies that come back in time. */
class AdaptiveWindowTest {
  private static final long FAST_MILLIS = 20;
  private static final long LATE_MILLIS = 700;

  private final CallWindow window = new AdaptiveWindow();
  private long now = 1_000;

  /** A machine that keeps up is not throttled for long. */
  @Test
  void windowGrowsWhileRepliesAreFast() {
    int first = freeCalls();
    for (int i = 0; i < 5; i++) {
      answerAll(fill(), FAST_MILLIS);
    }
    int grown = freeCalls();
    assertTrue(grown >= 8 * first, () -> first + " at first, then " + grown);
  }

  /** A machine that reads its replies too late gets fewer calls, down to a few at a time. */
  @Test
  void windowShrinksWhileRepliesAreLate() {
    int first = freeCalls();
    for (int i = 0; i < 5; i++) {
      answerAll(fill(), LATE_MILLIS);
    }
    int shrunk = freeCalls();
    assertTrue(shrunk <= first / 2, () -> first + " at first, then " + shrunk);
    assertTrue(shrunk > 0);
  }

  /** The calls of one window that are late together shrink it once, not once each. */
  @Test
  void windowIsHalvedOnceForOnePause() {
    for (int i = 0; i < 5; i++) {
      answerAll(fill(), FAST_MILLIS);
    }
    int grown = freeCalls();
    List<Call> calls = fill();
    now += LATE_MILLIS;
    calls.addAll(fill());
    answerAll(calls, LATE_MILLIS);
    assertEquals(grown / 2, freeCalls());
  }

  /**
   * Some workers are gone: their calls use window capacity for a while, and the others are still
   * called.
   */
  @Test
  void windowStaysOpenWhenSomeWorkersNeverAnswer() {
    int first = freeCalls();
    for (int i = 0; i < 5; i++) {
      List<Call> calls = fill();
      now += FAST_MILLIS;
      calls.subList(first / 4, calls.size()).forEach(call -> window.end(call, true, now));
      now += LATE_MILLIS;
      calls.subList(0, first / 4).forEach(call -> window.end(call, false, now));
    }
    assertTrue(freeCalls() >= first);
  }

  /** The worker withholds its reply for the wait that the call asked for. */
  @Test
  void waitingCallDoesNotCountAgainstTheWindow() {
    int first = freeCalls();
    for (int i = 0; i < first; i++) {
      window.begin(now, 4 * LATE_MILLIS, false);
    }
    assertEquals(first, freeCalls());
  }

  /** Calls to workers that did not answer before indicate nothing about this machine. */
  @Test
  void failedProbesDoNotShrinkTheWindow() {
    int first = freeCalls();
    for (int i = 0; i < 4 * first; i++) {
      window.end(window.begin(now, 0, true), false, now + LATE_MILLIS);
    }
    assertEquals(first, freeCalls());
  }

  /** Returns how many calls are allowed while none is in flight. */
  private int freeCalls() {
    List<Call> probes = new ArrayList<>();
    while (window.isOpen(now)) {
      probes.add(window.begin(now, 0, true));
    }
    probes.forEach(call -> window.end(call, false, now));
    return probes.size();
  }

  /** Begins as many calls as the window allows. */
  private List<Call> fill() {
    List<Call> calls = new ArrayList<>();
    while (window.isOpen(now)) {
      calls.add(window.begin(now, 0, false));
    }
    return calls;
  }

  private void answerAll(List<Call> calls, long delayMillis) {
    now += delayMillis;
    calls.forEach(call -> window.end(call, true, now));
  }
}
