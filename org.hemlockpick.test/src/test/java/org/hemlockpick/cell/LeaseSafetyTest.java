package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Tests wrong conclusions about previous holders and their leases after takeovers and lost replies
 * in series.
 */
class LeaseSafetyTest {
  /** Time after which the clocks of the workers are beyond the length of a lease. */
  private static final long SETTLE_MILLIS = 10_000;

  /** Time from the start of a run until the transaction that stores it is in flight. */
  private static final long STORING_MILLIS = 8;

  private static final long RECOVERY_MILLIS = 25_000;
  private static final long LONG_RECOVERY_MILLIS = 60_000;

  private final CellWorld world = new CellWorld(20261204, 3, 4);

  /**
   * A process whose claim was carried out and not answered found its own name in the row, claimed
   * again, and assumed that the previous holder had ended, although that one extended leases for 8
   * s.
   */
  @Test
  void unansweredClaimDoesNotEndThePreviousHolder() {
    world.workers.runMillis = 20_000;
    CellWorld.Node previous = holderWithOneWorkerAndNoStore();
    CellWorld.Node next = other(previous);
    for (CellWorld.Node node : world.nodes) {
      node.storeView.disconnected |= node != next;
    }
    next.storeView.repliesLost = true;
    runUntil(() -> isLogged(" lease c0 claim UNKNOWN"), 5_000);
    next.storeView.repliesLost = false;
    healAfterAWhile(previous);
    assertNoViolationsAndAllFinished();
  }

  /**
   * A process took the cell and ended before it stored a roster. The next process at its address
   * took the stored roster of an earlier holder for its own, and assumed that this holder had
   * ended.
   */
  @Test
  void rosterOfAnEarlierHolderIsNotTakenForThePreviousHolders() {
    world.workers.runMillis = 20_000;
    CellWorld.Node previous = holderWithOneWorkerAndNoStore();
    CellWorld.Node next = nextHolder(previous);
    next.kill();
    next.start();
    disconnectAllBut(previous.incarnation(), "w1");
    healAfterAWhile(previous);
    assertNoViolationsAndAllFinished();
  }

  /** The same, where the process that took the cell was told to stop at once and released it. */
  @Test
  void rosterOfAnEarlierHolderIsNotTakenForThatOfAHolderThatReleasedTheCell() {
    world.workers.runMillis = 20_000;
    CellWorld.Node previous = holderWithOneWorkerAndNoStore();
    nextHolder(previous).process().beginStop();
    healAfterAWhile(previous);
    assertNoViolationsAndAllFinished();
  }

  /**
   * The stored roster named a worker as silent. The holder reached it again and extended its leases
   * although it could not store that, and its successor counted them as expired.
   */
  @Test
  void leasesOfAWorkerStoredAsUnreachableAreNotExtendedWithoutTheStore() {
    extendWithoutTheStoreAfter(" worker w1 given up");
    assertNoViolationsAndAllFinished();
  }

  /** The same, where the worker did not answer one call and is not stored as silent yet. */
  @Test
  void successorCountsTheLeasesOfAWorkerThatFailedOneCall() {
    extendWithoutTheStoreAfter(" worker w1 not reached");
    assertNoViolationsAndAllFinished();
  }

  private void extendWithoutTheStoreAfter(String decision) {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node previous = world.holder();
    world.submit(world.nodes.indexOf(previous) + 1, "a", step(8));
    world.time.runFor(1_500);
    previous.workerView.unreachable.add("w1");
    runUntil(() -> isLogged(decision), 6_000);
    assertTrue(isLogged(decision), () -> String.join("\n", world.log));
    world.time.runFor(200);
    previous.storeView.disconnected = true;
    previous.workerView.unreachable.addAll(List.of("w0", "w2", "w3"));
    previous.workerView.unreachable.remove("w1");
    disconnectAllBut(previous.incarnation(), "w1");
    healAfterAWhile(previous);
  }

  /**
   * A hold call named the end of a lease on the clock of the previous boot and reached the new boot
   * late. No reply came, and the holder counted the lease from its decision.
   */
  @Test
  void lateHoldCallGrantsANewBootNoLongerLease() {
    world.workers.runMillis = 20_000;
    world.time.runFor(3 * SETTLE_MILLIS + 300);
    CellWorld.Node holder = world.holder();
    holder.workerView.hold();
    world.workers.get("w1").restart(800);
    world.submit(world.nodes.indexOf(holder) + 1, "a", step(8));
    world.time.runFor(850);
    holder.workerView.release();
    world.time.runFor(6);
    holder.workerView.hold();
    world.time.runFor(1_500);
    holder.workerView.release();
    world.time.runFor(5);
    world.workers.get("w1").disconnected = true;
    world.time.runFor(9_000);
    world.workers.get("w1").disconnected = false;
    world.registerWorker("w1");
    world.time.runFor(LONG_RECOVERY_MILLIS);
    assertNoViolationsAndAllFinished();
  }

  /**
   * An order was held back before its socket while a successor took the cell and heard from all
   * workers. One of these restarted afterwards, knew no fencing token, and got the order before any
   * other call.
   */
  @Test
  void lateOrderStartsNothingInABootAfterTheTakeover() {
    world.workers.runMillis = 6_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = holderWithoutWorkerW0();
    holder.incarnation().pauseBeforeSending(4_500);
    world.submit(world.nodes.indexOf(holder) + 1, "a", step(9));
    runUntil(holder::isPaused, 2_000);
    world.registerWorker("w0");
    world.time.runFor(3_300);
    world.workers.get("w1").restart(1_150);
    world.time.runFor(RECOVERY_MILLIS);
    assertNoViolationsAndAllFinished();
  }

  /** What is read right after a suspension is handled before the next tick compares the clocks. */
  @Test
  void orderIsNotRepeatedRightAfterASuspension() {
    world.workers.runMillis = 6_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = holderWithoutWorkerW0();
    holder.workerView.startsLost = true;
    world.submit(world.nodes.indexOf(holder) + 1, "a", step(9));
    runUntil(() -> isLogged(" start a.0.0.0 "), 2_000);
    world.time.runFor(100);
    holder.suspend(4_500);
    holder.workerView.startsLost = false;
    world.registerWorker("w0");
    world.time.runFor(3_340);
    world.workers.get("w1").restart(1_150);
    world.time.runFor(RECOVERY_MILLIS);
    assertNoViolationsAndAllFinished();
  }

  /**
   * A holder resumed while its last renewal was in flight. It detected the pause, and then took the
   * reply, which was sent before the pause, for the renewal that it had to wait for.
   */
  @Test
  void renewalSentBeforeAPauseAllowsNoOrdersAfterIt() {
    world.workers.runMillis = 1_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = holderWithoutWorkerW0();
    world.submit(world.nodes.indexOf(holder) + 1, "a", step(1), step(6, 0));
    runUntil(() -> world.workers.starts.size() >= 1, 1_000);
    world.time.runFor(STORING_MILLIS);
    holder.pause(6_000);
    world.registerWorker("w0");
    world.workers.runMillis = 8_000;
    world.time.runFor(4_400);
    world.workers.get("w1").restart(1_500);
    world.registerWorker("w1");
    world.time.runFor(1_599);
    // Its loop runs before the replies are read from their connections.
    holder.process().tick();
    world.time.runFor(RECOVERY_MILLIS);
    assertNoViolationsAndAllFinished();
  }

  /**
   * A worker that was gone refused the first call of a new holder before the others had answered.
   * The roster was stored without them, and no task was started anywhere for 13 s.
   */
  @Test
  void workersThatAnswerAfterTheFirstRosterGetTasksSoon() {
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node previous = world.holder();
    world.workers.get("w1").refusesConnections = true;
    previous.kill();
    CellWorld.Node next = nextHolder(previous);
    for (int i = 0; i < 100; i++) {
      // The loop runs with every reply.
      next.process().tick();
      world.time.runFor(1);
    }
    world.submit(world.nodes.indexOf(next), "a", step(4));
    world.time.runFor(3_000);
    assertEquals(4, world.workers.starts.size(), () -> String.join("\n", world.log));
  }

  /** Makes the holder place tasks otherwise than its successor, which finds w0 in the list. */
  private CellWorld.Node holderWithoutWorkerW0() {
    world.store.remove("workers", "w0");
    world.time.runFor(600);
    return world.holder();
  }

  /** Leaves the holder with its runs at w1 alone, which no other process reaches. */
  private CellWorld.Node holderWithOneWorkerAndNoStore() {
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = world.holder();
    world.submit(world.nodes.indexOf(holder) + 1, "a", step(8));
    world.time.runFor(1_500);
    holder.storeView.disconnected = true;
    holder.workerView.unreachable.addAll(List.of("w0", "w2", "w3"));
    disconnectAllBut(holder.incarnation(), "w1");
    return holder;
  }

  private void healAfterAWhile(CellWorld.Node previous) {
    world.time.runFor(13_000);
    previous.workerView.unreachable.clear();
    for (CellWorld.Node node : world.nodes) {
      node.storeView.disconnected = false;
      node.workerView.unreachable.remove("w1");
    }
    world.time.runFor(LONG_RECOVERY_MILLIS);
  }

  private CellWorld.Node other(CellWorld.Node node) {
    return world.nodes.get((world.nodes.indexOf(node) + 1) % world.nodes.size());
  }

  /**
   * Waits until a process other than the previous holder's holds the cell, and returns its node.
   */
  private CellWorld.Node nextHolder(CellWorld.Node previous) {
    runUntil(() -> world.nodes.stream().anyMatch(node -> isNewHolder(previous, node)), 5_000);
    return world.nodes.stream()
        .filter(node -> isNewHolder(previous, node))
        .findFirst()
        .orElseThrow();
  }

  private static boolean isNewHolder(CellWorld.Node previous, CellWorld.Node node) {
    return node != previous && node.process != null && node.process.isHolder();
  }

  /** Disconnects every other process from a worker. */
  private void disconnectAllBut(CellWorld.Incarnation incarnation, String worker) {
    for (CellWorld.Node node : world.nodes) {
      if (node.incarnation() != incarnation) {
        node.workerView.unreachable.add(worker);
      }
    }
  }

  private boolean isLogged(String text) {
    return world.log.stream().anyMatch(line -> line.contains(text));
  }

  private void runUntil(BooleanSupplier condition, long maxMillis) {
    long latest = world.time.millis() + maxMillis;
    while (!condition.getAsBoolean() && world.time.millis() < latest) {
      world.time.runFor(1);
    }
  }

  private void assertNoViolationsAndAllFinished() {
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.unfinished(), () -> String.join("\n", world.log));
  }
}
