package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests workers whose machines' times of day jump, so that boots cannot be told by their order. */
class WorkerBootTest {
  private static final long SETTLE_MILLIS = 3_000;

  /** Time within which a restart is noticed and the new boot is used. */
  private static final long RETURN_MILLIS = 4_000;

  private static final long JUMP_MILLIS = 2_000;
  private static final long DOWN_MILLIS = 400;

  /** Time in which a reply is on its way, so that its call counts as failed before. */
  private static final long SLOW_REPLY_MILLIS = 1_450;

  private static final int WORKERS = 4;

  private final CellWorld world = new CellWorld(20261205, 3, WORKERS);
  private final FakeWorkers.Model worker = world.workers.get("w0");

  @BeforeEach
  void settle() {
    world.workers.maxWallJumpMillis = 0;
    world.time.runFor(SETTLE_MILLIS);
  }

  /** Restarts the worker with its time of day ahead or, if negative, back. */
  private void restart(long wallOffsetMillis) {
    worker.restart(DOWN_MILLIS);
    worker.setBootTime(worker.upAt() + wallOffsetMillis);
    world.time.after(DOWN_MILLIS, () -> world.registerWorker("w0"));
  }

  /** Submits work for all workers, and checks that it is done and that no end is left anywhere. */
  private void assertUsable() {
    int started = startsAtWorker();
    for (int i = 0; i < 6; i++) {
      world.submit(i, "u" + i, step(2 * WORKERS), step(2 * WORKERS, 0));
      world.time.runFor(1_500);
    }
    world.time.runFor(5_000);
    assertEquals(List.of(), world.unfinished(), this::log);
    assertTrue(startsAtWorker() > started, this::log);
    assertEquals(0, worker.unacknowledgedCompletions(), this::log);
    assertEquals(List.of(), world.workers.violations, this::log);
  }

  private int startsAtWorker() {
    return (int)
        world.workers.startLog.stream().filter(start -> start.worker().equals("w0")).count();
  }

  private String log() {
    return String.join("\n", world.log);
  }

  private long logged(String text) {
    return world.log.stream().filter(line -> line.contains(text)).count();
  }

  /** Guards against dropping all answers of a boot whose start lies before that of the last one. */
  @ParameterizedTest
  @ValueSource(longs = {-JUMP_MILLIS - 1, -DOWN_MILLIS - SETTLE_MILLIS, -86_400_000})
  void bootWithAnEarlierTimeIsHeard(long wallOffsetMillis) {
    restart(wallOffsetMillis);
    world.time.runFor(RETURN_MILLIS);
    assertUsable();
    assertEquals(1, logged("worker w0 started anew"), this::log);
  }

  /** Guards against the same where the time of day is ahead during one of two restarts. */
  @ParameterizedTest
  @ValueSource(longs = {0, 200, 1_200, 5_000})
  void bootAfterOneWhoseTimeWasAheadIsHeard(long upMillis) {
    world.submit(0, "a", step(2 * WORKERS), step(2 * WORKERS, 0));
    world.time.runFor(100);
    restart(JUMP_MILLIS);
    world.time.runFor(DOWN_MILLIS + upMillis);
    restart(0);
    world.time.runFor(RETURN_MILLIS);
    assertUsable();
  }

  /** Guards against the same where the next holder reads the entry of the boot before only. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void nextHolderHearsABootWithAnEarlierTime(boolean isListed) {
    world.submit(0, "a", step(2 * WORKERS), step(2 * WORKERS, 0));
    world.time.runFor(100);
    CellWorld.Node holder = world.holder();
    holder.kill();
    worker.restart(DOWN_MILLIS);
    worker.setBootTime(worker.upAt() - 2 * SETTLE_MILLIS);
    long listedAfter = isListed ? DOWN_MILLIS : 6_000;
    world.time.after(listedAfter, () -> world.registerWorker("w0"));
    world.time.runFor(3_000 + listedAfter);
    holder.start();
    world.time.runFor(RETURN_MILLIS);
    assertUsable();
  }

  /** Guards against the same where the worker is listed by the roster of a holder before only. */
  @Test
  void nextHolderHearsABootWithAnEarlierTimeThanOnTheRoster() {
    world.submit(0, "a", step(2 * WORKERS));
    world.time.runFor(100);
    world.holder().kill();
    world.store.remove("workers", "w0");
    worker.restart(DOWN_MILLIS);
    worker.setBootTime(worker.upAt() - 2 * SETTLE_MILLIS);
    world.time.runFor(8_000);
    world.registerWorker("w0");
    world.time.runFor(RETURN_MILLIS);
    assertUsable();
  }

  /** Guards against believing the late entry of an earlier boot whose time of day was ahead. */
  @Test
  void lateEntryOfAnEarlierBootIsNotBelieved() {
    restart(JUMP_MILLIS);
    world.time.runFor(RETURN_MILLIS);
    ByteString entry = world.store.platformValue("workers", "w0").orElseThrow();
    restart(-JUMP_MILLIS);
    world.time.runFor(RETURN_MILLIS);
    world.store.put("workers", "w0", entry);
    world.time.runFor(RETURN_MILLIS);
    assertEquals(2, logged("worker w0 started anew"), this::log);
    assertUsable();
    assertEquals(2, logged("worker w0 started anew"), this::log);
  }

  /** Guards against believing an entry, of whatever boot, of a worker that contradicts it. */
  @ParameterizedTest
  @ValueSource(longs = {-JUMP_MILLIS, JUMP_MILLIS})
  void entryThatTheWorkerContradictsIsNotBelieved(long offsetMillis) {
    long other = worker.bootTimeMillis() + offsetMillis;
    world.store.put("workers", "w0", ByteString.copyFromUtf8(other + " ready 8000 32000 0"));
    int calls = worker.holdCalls;
    world.time.runFor(RETURN_MILLIS);
    assertEquals(0, logged("worker w0 started anew"), this::log);
    assertEquals(1, logged("worker w0 doubted"), this::log);
    int asked = worker.holdCalls - calls;
    assertTrue(asked <= 5, () -> asked + " calls\n" + log());
    assertUsable();
  }

  /** Guards against starts that rely on the entry of another boot where capacity is not guarded. */
  @Test
  void entryOfAnotherBootIsNoReadingOfTheCapacity() {
    world.setGuardsCapacity(false);
    world.time.runFor(RETURN_MILLIS);
    int started = startsAtWorker();
    long other = worker.bootTimeMillis() + JUMP_MILLIS;
    world.store.put("workers", "w0", ByteString.copyFromUtf8(other + " ready 8000 32000 0"));
    world.time.runFor(RETURN_MILLIS);
    world.submit(0, "a", step(4 * WORKERS));
    world.time.runFor(1_000);
    assertEquals(started, startsAtWorker(), this::log);
    world.registerWorker("w0");
    world.time.runFor(RETURN_MILLIS);
    assertUsable();
  }

  /** Guards against taking the late answer of an earlier boot for that of the next one. */
  @ParameterizedTest
  @ValueSource(longs = {-JUMP_MILLIS - 10_000, JUMP_MILLIS})
  void lateAnswerOfAnEarlierBootIsPassedOver(long wallOffsetMillis) {
    world.time.runFor(RETURN_MILLIS);
    worker.replyMillis = SLOW_REPLY_MILLIS;
    int calls = worker.holdCalls;
    while (worker.holdCalls == calls) {
      world.time.runFor(10);
    }
    world.time.runFor(20);
    worker.restart(DOWN_MILLIS + SLOW_REPLY_MILLIS);
    worker.setBootTime(worker.upAt() + wallOffsetMillis);
    world.time.runFor(750);
    world.registerWorker("w0");
    world.time.runFor(SLOW_REPLY_MILLIS);
    worker.replyMillis = 2;
    world.time.runFor(RETURN_MILLIS);
    assertEquals(1, logged("worker w0 answer passed over"), this::log);
    assertEquals(1, logged("worker w0 started anew"), this::log);
    assertUsable();
  }

  /** Guards against waiting for a boot that is gone while the list shows the next one. */
  @ParameterizedTest
  @ValueSource(longs = {-JUMP_MILLIS - 10_000, JUMP_MILLIS})
  void listedBootOfAWorkerThatDoesNotAnswerIsBelieved(long wallOffsetMillis) {
    worker.answersLost = true;
    world.time.runFor(RETURN_MILLIS);
    restart(wallOffsetMillis);
    world.time.runFor(RETURN_MILLIS);
    assertEquals(1, logged("worker w0 started anew"), this::log);
    worker.answersLost = false;
    world.time.runFor(RETURN_MILLIS);
    assertUsable();
  }

  /** Guards against crashes that are not seen, as the boot after one has an earlier time. */
  @Test
  void crashIsSeenWhenTheNextBootHasAnEarlierTime() {
    world.workers.returnsUnderOtherIdentifier = false;
    world.workers.onReturned = (returned, previous) -> returnWithEarlierTime(returned);
    world.workers.crashAfterMillis.put(new TaskId("g", 0, 0, 0), 10L);
    world.submit(0, "g", step(2));
    world.time.runFor(40_000);
    assertEquals(JobState.FAILED, world.state("g"), this::log);
    assertTrue(world.workers.crashLog.size() <= 3, this::log);
    assertFalse(world.workers.crashLog.isEmpty());
  }

  private void returnWithEarlierTime(String id) {
    FakeWorkers.Model returned = world.workers.get(id);
    returned.setBootTime(returned.upAt() - 60_000);
    world.registerWorker(id);
  }

  /** Guards against believing that a worker ended, as another one is at an address it never had. */
  @ParameterizedTest
  @ValueSource(longs = {-5_000, 5_000})
  void runsGoOnThoughALateEntryNamesTheAddressOfAnotherWorker(long wallOffsetMillis) {
    world.workers.runMillis = 20_000;
    world.submit(0, "a", CellWorld.step(8));
    world.time.runFor(1_000);
    worker.answersLost = true;
    world.time.runFor(800);
    String boot = Long.toString(worker.bootTimeMillis() + wallOffsetMillis);
    String entry = String.join(" ", boot, "ready 8000 32000 0", CellWorld.SERVICE, "w9:1");
    world.store.put("workers", "w0", ByteString.copyFromUtf8(entry));
    world.time.runFor(600);
    worker.answersLost = false;
    world.time.runFor(400);
    world.registerWorker("w0");
    world.time.runFor(20_000);
    assertEquals(List.of(), world.workers.violations);
  }
}
