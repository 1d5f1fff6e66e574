package org.hemlockpick.daemon.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which request gives way when the bytes of a process run short. */
class ByteBudgetTest {
  private static final long LIMIT = 100_000;

  private final ByteBudget budget = new ByteBudget(LIMIT);
  private final List<String> dropped = new ArrayList<>();

  private ByteBudget.Holding begin(String name, long beganAt) {
    ByteBudget.Holding holding = new ByteBudget.Holding(() -> dropped.add(name));
    budget.begin(holding, beganAt);
    return holding;
  }

  private ByteBudget.Holding begin(String name, long beganAt, long bytes) {
    ByteBudget.Holding holding = begin(name, beganAt);
    assertTrue(budget.add(holding, bytes));
    return holding;
  }

  @Test
  void requestWithoutANewByteForLongestIsDropped() {
    ByteBudget.Holding first = begin("first", 1, 40_000);
    begin("second", 2, 40_000);
    budget.touch(first, 3);
    begin("third", 4, 40_000);
    assertEquals(List.of("second"), dropped);
    assertEquals(80_000, budget.usedBytes());
  }

  @Test
  void ofTwoThatAreEqualTheOlderOneIsDropped() {
    ByteBudget.Holding late = begin("late", 2, 40_000);
    ByteBudget.Holding early = begin("early", 1, 40_000);
    budget.touch(early, 3);
    budget.touch(late, 3);
    begin("new", 4, 40_000);
    assertEquals(List.of("early"), dropped);
  }

  @Test
  void requestWithoutBytesIsNotDropped() {
    begin("empty", 1);
    begin("second", 2, LIMIT);
    begin("third", 3, 1);
    assertEquals(List.of("second"), dropped);
  }

  @Test
  void completeRequestIsNotDropped() {
    ByteBudget.Holding complete = begin("complete", 1, LIMIT);
    assertTrue(budget.complete(complete));
    ByteBudget.Holding other = begin("other", 2);
    assertFalse(budget.add(other, 1));
    assertEquals(List.of(), dropped);
    budget.releaseAll(complete);
    assertTrue(budget.add(other, 1));
  }

  /** Guards against a request that is handled after its connection was given up. */
  @Test
  void droppedRequestDoesNotBecomeComplete() {
    ByteBudget.Holding first = begin("first", 1, LIMIT);
    begin("second", 2, 1);
    assertFalse(budget.complete(first));
    assertFalse(budget.add(first, 1));
    assertEquals(1, budget.usedBytes());
  }

  /** Guards against a largest request that is never served on a small machine. */
  @Test
  void requestThatIsAloneMayExceedTheLimit() {
    ByteBudget.Holding alone = begin("alone", 1);
    assertTrue(budget.admits(alone, 3 * LIMIT, 1));
    assertTrue(budget.add(alone, 3 * LIMIT));
  }

  @Test
  void largeRequestIsAdmittedByWhatIsLeft() {
    begin("other", 1, 40_000);
    ByteBudget.Holding large = begin("large", 1);
    assertTrue(budget.admits(large, 60_000, 1));
    assertFalse(budget.admits(large, 60_001, 1));
    assertTrue(budget.admits(large, 16_384, 1));
  }

  /** Guards against bodies that stop short of their end and keep others out. */
  @Test
  void stalledRequestsDoNotKeepLargeOnesOut() {
    begin("stalled", 1, LIMIT);
    ByteBudget.Holding large = begin("large", 1_000);
    assertFalse(budget.admits(large, 60_000, 1_000));
    assertTrue(budget.admits(large, 60_000, 1_001));
  }
}
