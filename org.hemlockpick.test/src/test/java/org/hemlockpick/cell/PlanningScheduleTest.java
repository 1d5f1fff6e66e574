package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when planning passes are due while changes come all the time. */
class PlanningScheduleTest {
  private static final long START = 1_000;

  private final PlanningSchedule schedule = new PlanningSchedule();

  private long millisUntilDue(long from, boolean hasChanged) {
    long at = from;
    while (!schedule.isDue(at, hasChanged)) {
      at++;
    }
    return at - from;
  }

  @Test
  void firstPassIsDueAtOnce() {
    assertTrue(schedule.isDue(START, true));
  }

  @Test
  void aChangeIsPlannedSoonAfterAShortPass() {
    schedule.onPass(START, START);
    assertFalse(schedule.isDue(START + 9, true));
    assertTrue(schedule.isDue(START + 10, true));
  }

  @Test
  void withoutAChangeAPassFollowsAfterAWhile() {
    schedule.onPass(START, START);
    assertEquals(100, millisUntilDue(START, false));
  }

  /** Guards against a backlog whose passes take all of the processor's time. */
  @Test
  void longPassesTakeAQuarterOfTheTime() {
    schedule.onPass(START, START + 20);
    assertEquals(80, millisUntilDue(START, true));
  }

  /** However long a pass took, changes must not wait for longer than without any. */
  @Test
  void theIntervalIsBounded() {
    schedule.onPass(START, START + 5_000);
    assertEquals(100, millisUntilDue(START, true));
  }
}
