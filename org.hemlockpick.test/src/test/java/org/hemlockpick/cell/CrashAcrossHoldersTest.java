package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that a task which crashes its workers is given up though holders die, freeze or stop
 * between its starts and its crashes. What counts is what the workers saw.
 */
class CrashAcrossHoldersTest {
  private static final int WORKERS = 12;
  private static final long SETTLE_MILLIS = 3_000;

  /** Time after its start at which a task crashes its worker, in milliseconds. */
  private static final long CRASH_MILLIS = 10;

  /** Time for which a holder freezes, and for which one that has died is down, in milliseconds. */
  private static final long AWAY_MILLIS = 6_000;

  private static final long POLL_MILLIS = 2;
  private static final long MAX_MILLIS = 100_000;

  private final CellWorld world = new CellWorld(20261205, 4, WORKERS);
  private final TaskId guilty = new TaskId("g", 0, 0, 0);

  private enum Change {
    KILL,
    FREEZE,
    STOP
  }

  private void change(Change change) {
    CellWorld.Node holder = world.holder();
    switch (change) {
      case KILL -> {
        holder.kill();
        world.time.after(AWAY_MILLIS, holder::start);
      }
      case FREEZE -> holder.suspend(AWAY_MILLIS);
      case STOP -> {
        holder.process().beginStop();
        world.time.after(
            1_500,
            () -> {
              holder.kill();
              holder.start();
            });
      }
    }
  }

  private int starts() {
    return (int) world.workers.starts.stream().filter(guilty::equals).count();
  }

  private boolean hasHolder() {
    return world.nodes.stream()
        .anyMatch(node -> node.process != null && !node.isPaused() && node.process.isHolder());
  }

  /** Changes the holder a time after each of the first starts of the guilty task. */
  private void play(Change change, int changes, long afterMillis) {
    int seen = 0;
    int changed = 0;
    long until = world.time.millis() + MAX_MILLIS;
    while (world.time.millis() < until) {
      world.time.runFor(POLL_MILLIS);
      if (changed < changes && starts() > seen) {
        seen = starts();
        changed++;
        world.time.runFor(afterMillis);
        for (int i = 0; i < 10_000 && !hasHolder(); i++) {
          world.time.runFor(POLL_MILLIS);
        }
        change(change);
      }
    }
  }

  private void assertGivenUp() {
    String log = String.join("\n", world.log);
    List<Long> crashes =
        world.workers.crashLog.stream()
            .filter(crash -> crash.lost().stream().anyMatch(run -> run.task().equals(guilty)))
            .map(FakeWorkers.Crash::atMillis)
            .toList();
    assertTrue(crashes.size() >= 2, () -> crashes + "\n" + log);
    long later =
        world.workers.startLog.stream()
            .filter(start -> start.run().task().equals(guilty))
            .filter(start -> start.atMillis() > crashes.get(1))
            .count();
    assertTrue(later < 3, () -> later + " starts after " + crashes + "\n" + log);
    assertEquals(JobState.FAILED, world.state("g"), () -> log);
    assertEquals(JobState.COMPLETED, world.state("n"), () -> log);
    assertEquals(JobState.COMPLETED, world.state("o"), () -> log);
    assertEquals(List.of(), world.workers.violations, () -> log);
  }

  /** Guards against a crash that falls into a change of holders being counted by nobody. */
  @ParameterizedTest
  @CsvSource({
    "KILL, 1, 0, true",
    "KILL, 2, 5, false",
    "KILL, 3, 40, true",
    "KILL, 4, 0, false",
    "KILL, 6, 300, true",
    "KILL, 6, 2500, false",
    "FREEZE, 2, 0, false",
    "FREEZE, 4, 20, true",
    "FREEZE, 6, 0, true",
    "FREEZE, 6, 1200, false",
    "FREEZE, 6, 3000, true",
    "STOP, 2, 0, true",
    "STOP, 4, 30, false",
    "STOP, 6, 0, true",
    "STOP, 6, 1500, false",
  })
  void taskIsGivenUpThoughHoldersChangeUnderItsCrashes(
      Change change, int changes, long afterMillis, boolean otherIdentifier) {
    world.workers.returnsUnderOtherIdentifier = otherIdentifier;
    world.workers.runMillisByJob.put("n", 3_000L);
    world.workers.crashAfterMillis.put(guilty, CRASH_MILLIS);
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "n", CellWorld.step(24));
    world.submit(0, "g", CellWorld.step(5));
    world.submit(0, "o", CellWorld.step(16));
    play(change, changes, afterMillis);
    assertGivenUp();
  }

  /** Guards against the same where the worker is back only after its lease has ended. */
  @ParameterizedTest
  @CsvSource({"KILL, true", "KILL, false", "FREEZE, true", "STOP, false"})
  void taskIsGivenUpThoughItsWorkersReturnLate(Change change, boolean otherIdentifier) {
    world.workers.returnsUnderOtherIdentifier = otherIdentifier;
    world.workers.crashReturnMillis = 9_000;
    world.workers.crashAfterMillis.put(guilty, CRASH_MILLIS);
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "n", CellWorld.step(6));
    world.submit(0, "g", CellWorld.step(2));
    world.submit(0, "o", CellWorld.step(3));
    play(change, 6, 0);
    assertEquals(JobState.FAILED, world.state("g"), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations);
  }

  /** Guards against the same where the task crashes its worker after seconds of work. */
  @ParameterizedTest
  @CsvSource({"KILL, 1900, true", "FREEZE, 1000, false", "STOP, 1500, true"})
  void taskThatCrashesItsWorkersLaterIsGivenUp(
      Change change, long afterMillis, boolean otherIdentifier) {
    world.workers.returnsUnderOtherIdentifier = otherIdentifier;
    world.workers.runMillisByJob.put("g", 40_000L);
    world.workers.crashAfterMillis.put(guilty, 2_000L);
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "n", CellWorld.step(6));
    world.submit(0, "g", CellWorld.step(1));
    world.submit(0, "o", CellWorld.step(3));
    play(change, 6, afterMillis);
    assertGivenUp();
  }

  /** Guards against the members of a gang being forgotten. */
  @ParameterizedTest
  @CsvSource({"KILL, 0, true", "FREEZE, 5, false", "STOP, 0, true"})
  void gangIsGivenUpThoughHoldersChangeUnderItsCrashes(
      Change change, long afterMillis, boolean otherIdentifier) {
    world.workers.returnsUnderOtherIdentifier = otherIdentifier;
    world.workers.crashAfterMillis.put(guilty, CRASH_MILLIS);
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "n", CellWorld.step(6));
    world.submit(0, "g", CellWorld.constrainedStep(3, true, 0));
    world.submit(0, "o", CellWorld.step(3));
    play(change, 6, afterMillis);
    assertGivenUp();
  }

  /** Guards against a lasting task being started on, whose placement alone is stored. */
  @ParameterizedTest
  @CsvSource({"KILL, 0, true", "FREEZE, 5, false", "STOP, 0, true"})
  void lastingTaskIsGivenUpThoughHoldersChangeUnderItsCrashes(
      Change change, long afterMillis, boolean otherIdentifier) {
    world.workers.returnsUnderOtherIdentifier = otherIdentifier;
    world.workers.crashAfterMillis.put(guilty, CRASH_MILLIS);
    world.workers.runMillisByJob.put("g", 600_000L);
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "n", CellWorld.step(6));
    world.submit(0, "g", CellWorld.step(2, false, null, 0, true, List.of()));
    world.submit(0, "o", CellWorld.step(3));
    play(change, 6, afterMillis);
    assertGivenUp();
  }
}
