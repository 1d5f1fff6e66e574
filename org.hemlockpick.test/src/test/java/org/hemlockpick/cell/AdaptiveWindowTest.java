package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.cell.CallWindow.Call;
import org.junit.jupiter.api.Test;

/** The bound on calls in flight follows what comes back in time. */
class AdaptiveWindowTest {
  private static final long SOON = 20;
  private static final long LATE = 700;

  private final CallWindow window = new AdaptiveWindow();
  private long now = 1_000;

  /** A machine that keeps up is not held back for long. */
  @Test
  void windowGrowsWhileAnswersComeSoon() {
    int first = room();
    for (int i = 0; i < 5; i++) {
      answerAll(fill(), SOON);
    }
    int grown = room();
    assertTrue(grown >= 8 * first, () -> first + " at first, then " + grown);
  }

  /** A machine that reads its answers too late gets fewer, down to a few at a time. */
  @Test
  void windowShrinksWhileAnswersComeLate() {
    int first = room();
    for (int i = 0; i < 5; i++) {
      answerAll(fill(), LATE);
    }
    int shrunk = room();
    assertTrue(shrunk <= first / 2, () -> first + " at first, then " + shrunk);
    assertTrue(shrunk > 0);
  }

  /** The calls of one window that come late together shrink it once, not once each. */
  @Test
  void windowIsHalvedOnceForOneStandstill() {
    for (int i = 0; i < 5; i++) {
      answerAll(fill(), SOON);
    }
    int grown = room();
    List<Call> calls = fill();
    now += LATE;
    calls.addAll(fill());
    answerAll(calls, LATE);
    assertEquals(grown / 2, room());
  }

  /** A part of the workers is gone: they take up room for a while, and the others are called on. */
  @Test
  void windowStaysOpenThoughSomeNeverAnswer() {
    int first = room();
    for (int i = 0; i < 5; i++) {
      List<Call> calls = fill();
      now += SOON;
      calls.subList(first / 4, calls.size()).forEach(call -> window.end(call, true, now));
      now += LATE;
      calls.subList(0, first / 4).forEach(call -> window.end(call, false, now));
    }
    assertTrue(room() >= first);
  }

  /** A worker keeps its answer back as it was asked to. */
  @Test
  void callThatWaitsTakesUpNoRoomMeanwhile() {
    int first = room();
    for (int i = 0; i < first; i++) {
      window.begin(now, 4 * LATE, false);
    }
    assertEquals(first, room());
  }

  /** Calls to workers that did not answer before say nothing of this machine. */
  @Test
  void trialsThatFailDoNotShrinkTheWindow() {
    int first = room();
    for (int i = 0; i < 4 * first; i++) {
      window.end(window.begin(now, 0, true), false, now + LATE);
    }
    assertEquals(first, room());
  }

  /** Returns how many calls are allowed while none is awaited. */
  private int room() {
    List<Call> trials = new ArrayList<>();
    while (window.isOpen(now)) {
      trials.add(window.begin(now, 0, true));
    }
    trials.forEach(call -> window.end(call, false, now));
    return trials.size();
  }

  /** Begins as many calls as the window allows. */
  private List<Call> fill() {
    List<Call> calls = new ArrayList<>();
    while (window.isOpen(now)) {
      calls.add(window.begin(now, 0, false));
    }
    return calls;
  }

  private void answerAll(List<Call> calls, long after) {
    now += after;
    calls.forEach(call -> window.end(call, true, now));
  }
}
