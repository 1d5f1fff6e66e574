package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests which attempts of a task count as failed, before and after they are stored and restored.
 */
class FailedAttemptsTest {
  private final FailedAttempts failed = new FailedAttempts(false);

  /** The next holder still processes an attempt that lies between two stored ones. */
  @Test
  void olderAttemptDoesNotCountWhenOnlyOthersWereStored() {
    failed.add(1_005);
    failed.add(2);
    FailedAttempts restored = new FailedAttempts(false);
    restored.restore(failed.count(), failed.newest(), failed.olderDistances());
    assertEquals(2, restored.count());
    assertTrue(restored.contains(2));
    assertTrue(restored.contains(1_005));
    assertFalse(restored.contains(1));
    assertFalse(restored.contains(3));
  }

  /** A row of the previous layout holds only the newest attempt: all attempts up to it count. */
  @Test
  void rowWithoutOlderAttemptsCountsAllUpToTheNewest() {
    failed.restore(3, 5, List.of());
    assertEquals(3, failed.count());
    assertTrue(failed.contains(4));
    assertFalse(failed.contains(6));
  }

  /** A long-running task may fail without limit; its row must not grow with each failure. */
  @Test
  void longRunningTaskKeepsTheNewestAttempts() {
    FailedAttempts longRunning = new FailedAttempts(true);
    for (int attempt = 1; attempt <= 1_000; attempt++) {
      longRunning.add(attempt);
    }
    assertEquals(1_000, longRunning.count());
    assertEquals(FailedAttempts.MAX_KEPT_OF_LONG_RUNNING - 1, longRunning.olderDistances().size());
    assertTrue(longRunning.contains(1));
    assertFalse(longRunning.contains(1_001));
  }
}
