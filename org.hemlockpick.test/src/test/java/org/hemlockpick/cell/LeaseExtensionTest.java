package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests leases of healthy workers whose holder runs on a small machine or loses some of their
 * replies.
 */
class LeaseExtensionTest {
  private static final long SETTLE_MILLIS = 10_000;
  private static final int MANY_WORKERS = 240;

  /** Times that a small machine needs to open a connection and to read a reply. */
  private static final long CONNECT_MICROS = 3_000;

  private static final long REPLY_MICROS = 1_500;

  /** Time beyond a lease within which a task must run again. */
  private static final long MAX_RESTART_DELAY_MILLIS = 1_500;

  private static final long MAX_WAIT_MILLIS = 20_000;
  private static final int SERIAL_JOBS = 40;

  /**
   * Longer than a lease, and shorter than the time for which a holder continues without the store.
   */
  private static final long STORE_OUTAGE_MILLIS = 6_500;

  /**
   * Guards against a holder that calls all workers at once and has no time to read the replies: it
   * counted the workers as unreachable and let their leases expire.
   */
  @Test
  void leasesContinueWhenASmallMachineTakesTheCell() {
    CellWorld world = takeoverBySmallMachine(MANY_WORKERS, CONNECT_MICROS, REPLY_MICROS);
    assertEquals(List.of(), world.workers.lapsedRuns, () -> summary(world));
    assertEquals(List.of(), notReached(world));
    assertEquals(MANY_WORKERS, world.workers.running());
    assertEquals(List.of(), world.workers.violations);
  }

  /**
   * The same, where each reply takes so long that even two per worker barely fit into the lease.
   */
  @Test
  void noHealthyWorkerCountsAsUnreachableWhenTooSmallAMachineTakesTheCell() {
    CellWorld world = takeoverBySmallMachine(MANY_WORKERS, 2 * CONNECT_MICROS, 2 * REPLY_MICROS);
    assertEquals(List.of(), notReached(world));
    assertEquals(List.of(), world.workers.violations);
  }

  /**
   * Guards against a call for each acknowledgement besides the one that brings the completion: a
   * holder of hundreds of workers spends most of its processor time on calls.
   */
  @Test
  void aCompletionCostsOneCall() {
    CellWorld world = new CellWorld(20261204, 1, 1);
    world.workers.runMillis = 300;
    world.workers.runMillisByJob.put("l", 600_000L);
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "l", longRunningOnePerWorker(1));
    world.time.runFor(2_000);
    int before = world.workers.get("w0").holdCalls;
    for (int i = 0; i < SERIAL_JOBS; i++) {
      world.submit(0, "j" + i, CellWorld.step(1));
      world.time.runFor(500);
    }
    int calls = world.workers.get("w0").holdCalls - before;
    assertEquals(1 + SERIAL_JOBS, world.workers.starts.size());
    // A few more, as one ends without a completion after a second.
    assertTrue(calls <= SERIAL_JOBS * 5 / 4, () -> calls + " calls");
    world.time.runFor(2_000);
    assertEquals(0, world.workers.get("w0").unacknowledgedCompletions());
  }

  private static CellWorld takeoverBySmallMachine(
      int workers, long connectMicros, long replyMicros) {
    CellWorld world = new CellWorld(20261204, 2, workers);
    world.workers.runMillis = 600_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", longRunningOnePerWorker(workers));
    world.time.runFor(3_000);
    assertEquals(workers, world.workers.running());
    CellWorld.Node previous = world.holder();
    for (CellWorld.Node node : world.nodes) {
      if (node != previous) {
        node.workerView.processor = new SimulatedProcessor(world.time, connectMicros, replyMicros);
      }
    }
    previous.kill();
    world.time.runFor(15_000);
    return world;
  }

  /**
   * Guards against a worker whose lease is extended no more after one reply was lost while the
   * table service was down.
   */
  @Test
  void leaseContinuesWhenAReplyIsLostDuringAStoreOutage() {
    CellWorld world = withLostReplies(1);
    assertEquals(List.of(), world.workers.lapsedRuns, () -> String.join("\n", world.log));
  }

  /** The same with two lost replies in a row. */
  @Test
  void leaseContinuesWhenTwoConsecutiveRepliesAreLostDuringAStoreOutage() {
    CellWorld world = withLostReplies(2);
    assertEquals(List.of(), world.workers.lapsedRuns, () -> String.join("\n", world.log));
  }

  private static CellWorld withLostReplies(int number) {
    CellWorld world = new CellWorld(20261204, 3, 4);
    world.workers.runMillis = 600_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", longRunningOnePerWorker(4));
    world.time.runFor(3_000);
    world.holder().workerView.lostHoldReplies.put("w1", number);
    world.store.unresponsive = true;
    world.time.runFor(STORE_OUTAGE_MILLIS);
    world.store.unresponsive = false;
    world.time.runFor(SETTLE_MILLIS);
    assertEquals(4, world.workers.running());
    return world;
  }

  /**
   * Guards against each unanswered call delaying the task's start elsewhere by its timeout and a
   * lease.
   */
  @Test
  void longRunningTaskRunsElsewhereSoonAfterItsWorkerDied() {
    CellWorld world = new CellWorld(20261204, 3, 4);
    world.workers.runMillis = 600_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", longRunningOnePerWorker(1));
    world.time.runFor(SETTLE_MILLIS);
    world.workers.get(world.workers.startLog.get(0).worker()).disconnected = true;
    long died = world.time.millis();
    while (world.workers.starts.size() < 2 && world.time.millis() < died + MAX_WAIT_MILLIS) {
      world.time.runFor(1);
    }
    long taken = world.time.millis() - died;
    assertTrue(taken <= CellWorld.LEASE_MILLIS + MAX_RESTART_DELAY_MILLIS, () -> taken + " ms");
    assertEquals(List.of(), world.workers.violations);
  }

  private static Step longRunningOnePerWorker(int count) {
    return CellWorld.step(count, false, null, 1, true, List.of());
  }

  private static List<String> notReached(CellWorld world) {
    return world.log.stream().filter(line -> line.contains(" not reached ")).toList();
  }

  private static String summary(CellWorld world) {
    List<String> lines = new ArrayList<>(notReached(world));
    lines.addAll(world.log.stream().filter(line -> line.contains(" cell c0 ")).toList());
    return String.join("\n", lines);
  }
}
