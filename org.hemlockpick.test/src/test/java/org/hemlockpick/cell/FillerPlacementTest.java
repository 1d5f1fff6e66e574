package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that fillers use what serving tasks leave, also on workers where they raise the tails of
 * these, and that the tails stay below their targets.
 */
class FillerPlacementTest {
  /** Time within which a filler, or one of a job, must run. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  /** Time for which fillers may wait while half of the usable CPU is idle. */
  private static final long MAX_HALF_UNUSED_MILLIS = 3_000;

  /** Time for which a serving task may not be over its target on end. */
  private static final long MAX_HARM_MILLIS = 4_000;

  /** Share of their time for which serving tasks may be over their target. */
  private static final double MAX_HARMED_PERCENT = 1.5;

  /** Number of serving tasks that one trial of a filler, and one more, may harm at a time. */
  private static final int MAX_HARMED = 2;

  private static final long PLAY_MILLIS = 60_000;
  private static final long LEARN_MILLIS = 10_000;
  private static final long BURST_INTERVAL_MILLIS = 4_000;
  private static final double SOME_HARMFUL = 0.3;
  private static final double LARGE_PRESS = 2.3;

  private FillerWorld fillers = new FillerWorld(SOME_HARMFUL);

  @AfterEach
  void hasNoViolations() {
    assertEquals(List.of(), fillers.world.workers.violations);
  }

  private void play(int jobsInBurst) {
    for (long left = PLAY_MILLIS; left > 0; left -= BURST_INTERVAL_MILLIS) {
      fillers.submitBurst(jobsInBurst);
      fillers.run(BURST_INTERVAL_MILLIS);
    }
  }

  /** Starts a serving task on every worker, and fillers that press hard on each of them. */
  private void playHarmful(int count) {
    fillers.interference.setPress("s0", "f0", LARGE_PRESS);
    fillers.serve("s0", FillerWorld.WORKERS, 1);
    for (int i = 0; i < count / 10; i++) {
      fillers.submitFillers("f0", 10, 5_000, 2_000);
    }
  }

  private void assertTails() {
    assertTrue(fillers.interference.longestHarmMillis < MAX_HARM_MILLIS, fillers::text);
    assertTrue(fillers.harmedPercent() < MAX_HARMED_PERCENT, fillers::text);
  }

  /** Guards against a filler that every worker refuses, for as long as it is held to be harmful. */
  @Test
  void fillersDoNotWaitBesideUnusedWorkers() {
    fillers.serve();
    play(6);
    assertTrue(fillers.longestWaitMillis <= MAX_WAIT_MILLIS, fillers::text);
    assertTails();
  }

  /** As above with more fillers than can run at once. */
  @Test
  void everyJobHasARunThoughFillersQueue() {
    fillers.serve();
    play(12);
    assertTrue(fillers.longestJobWaitMillis <= MAX_WAIT_MILLIS, fillers::text);
    assertTails();
  }

  /** Guards against fillers that crowd the few workers that accept them. */
  @Test
  void fillersUseWhatServingTasksLeave() {
    fillers.serve("s0", 21, 1);
    fillers.serve("s1", 7, 0);
    fillers.serve("s2", 7, 0);
    play(8);
    assertTrue(fillers.longestHalfUnusedMillis <= MAX_HALF_UNUSED_MILLIS, fillers::text);
    assertTails();
  }

  /** Guards against fillers that harmed once and all come back at the same moment. */
  @Test
  void suspectedFillersReturnOneByOne() {
    playHarmful(200);
    fillers.run(LEARN_MILLIS);
    fillers.mostHarmed = 0;
    fillers.run(PLAY_MILLIS);
    assertTrue(fillers.mostHarmed <= MAX_HARMED, fillers::text);
  }

  /** Guards against an image that harms everywhere and never gets any work done. */
  @Test
  void harmfulFillersAreWorkedOffAtAReducedRate() {
    playHarmful(60);
    fillers.run(PLAY_MILLIS / 2);
    assertEquals(0, fillers.notDone(), fillers::text);
    assertTails();
  }

  /** Guards against new images being held back for what others did. */
  @Test
  void harmlessFillersRunAtOnce() {
    fillers = new FillerWorld(0);
    fillers.serve();
    play(8);
    assertTrue(fillers.longestWaitMillis <= MAX_WAIT_MILLIS / 3, fillers::text);
    assertEquals(0, fillers.interference.harmMillis, fillers::text);
  }

  /** Guards against a suspicion that lasts for longer at the next holder. */
  @Test
  void nextHolderDoesNotRefuseForLonger() {
    playHarmful(40);
    fillers.run(LEARN_MILLIS);
    fillers.world.holder().kill();
    fillers.run(2 * LEARN_MILLIS);
    fillers.longestJobWaitMillis = 0;
    fillers.submitFillers("f0", 10, 5_000, 2_000);
    fillers.run(LEARN_MILLIS);
    assertTrue(fillers.longestJobWaitMillis <= MAX_WAIT_MILLIS, fillers::text);
    assertTails();
  }
}
