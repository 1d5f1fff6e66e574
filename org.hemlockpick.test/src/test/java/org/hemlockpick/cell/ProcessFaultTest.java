package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Tests faults of real processes: they are paused, overlap, and send what they decided on long
 * before.
 */
class ProcessFaultTest {
  /** Time after which the clocks of the workers are beyond the length of a lease. */
  private static final long SETTLE_MILLIS = 10_000;

  private static final long RECOVERY_MILLIS = 25_000;
  private static final long LONG_RECOVERY_MILLIS = 60_000;

  private final CellWorld world = new CellWorld(20261204, 3, 4);

  /**
   * Guards against late replies making a worker look restarted, and then its lease look expired.
   */
  @Test
  void tasksOfAnUnlistedWorkerContinueAfterTheirHolderWasPaused() {
    pauseWithOrdersInFlight(1_600, 410);
    assertNoViolationsAndAllFinished();
  }

  private void pauseWithOrdersInFlight(long millis, long unlistedFor) {
    world.workers.runMillis = 12_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = world.holder();
    world.store.remove("workers", "w1");
    world.time.runFor(unlistedFor);
    world.submit(other(holder), "a", step(12));
    runUntil(() -> world.workers.starts.size() >= 12, 1_000);
    holder.pause(millis);
    world.time.runFor(RECOVERY_MILLIS);
  }

  /** The same, where the call that extends the lease fails while the holder is paused. */
  @Test
  void tasksOfAWorkerWhoseNextCallFailsContinueAfterTheirHolderWasPaused() {
    pauseWhileTheNextCallFails(1_600, 100);
    assertNoViolationsAndAllFinished();
  }

  private void pauseWhileTheNextCallFails(long millis, long disconnectAfter) {
    world.workers.runMillis = 12_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = world.holder();
    world.submit(other(holder), "a", step(4));
    world.time.runFor(1_200);
    world.submit(other(holder), "b", step(8));
    runUntil(() -> world.workers.starts.size() >= 12, 1_000);
    holder.pause(millis);
    world.time.runFor(disconnectAfter);
    world.workers.get("w1").disconnected = true;
    world.time.runFor(millis - disconnectAfter + 50);
    world.workers.get("w1").disconnected = false;
    world.time.runFor(RECOVERY_MILLIS);
  }

  /**
   * Guards against acknowledging completions of the previous boot to a new boot, which then forgot
   * one of its own.
   */
  @Test
  void completionOfANewBootIsNotAcknowledgedByAHolderThatReadsAStaleReply() {
    readAStaleReply(55, 1_000);
    assertNoViolationsAndAllFinished();
  }

  private void readAStaleReply(long submitAfter, long millis) {
    world.workers.runMillis = 20;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = world.holder();
    world.submit(other(holder), "a", step(8));
    runUntil(() -> world.workers.starts.size() >= 8, 1_000);
    world.time.runFor(submitAfter);
    holder.incarnation().pauseBeforeSending(millis);
    world.submit(other(holder), "b", step(8));
    runUntil(holder::isPaused, 1_000);
    world.time.runFor(10);
    world.workers.get("w1").restart(750);
    world.time.runFor(760);
    holder.workerView.repliesLost = true;
    holder.workerView.release();
    holder.workerView.repliesLost = false;
    world.time.runFor(RECOVERY_MILLIS);
  }

  /**
   * Guards against an order that was decided on under an old lease being sent after the tasks ran
   * elsewhere.
   */
  @Test
  void orderSentLongAfterItsLeaseCheckStartsNothing() {
    sendLate(16_000, 15_990, false);
    assertNoViolationsAndAllFinished();
  }

  /**
   * The same, where the worker has restarted: its clock is set back, and it knows no fencing token.
   */
  @Test
  void orderSentLongAfterItsLeaseCheckStartsNothingInANewBoot() {
    sendLate(4_000, 2_450, true);
    assertNoViolationsAndAllFinished();
  }

  private void sendLate(long millis, long disconnectedMillis, boolean restart) {
    world.workers.runMillis = 6_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = world.holder();
    holder.incarnation().pauseBeforeSending(millis);
    world.submit(other(holder), "a", step(12));
    runUntil(holder::isPaused, 2_000);
    world.workers.get("w1").disconnected = true;
    world.time.runFor(disconnectedMillis);
    if (restart) {
      world.workers.get("w1").restart(1_500);
      world.registerWorker("w1");
    }
    world.workers.get("w1").disconnected = false;
    world.time.runFor(RECOVERY_MILLIS + millis);
  }

  /**
   * Guards against a process that assumes that its predecessor has ended while that one goes on.
   */
  @Test
  void processStartedAlongsideTheOldOneWaitsForItsLeases() {
    startAlongsideADisconnectedProcess();
    assertNoViolationsAndAllFinished();
  }

  private void startAlongsideADisconnectedProcess() {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    world.submit(other(node), "a", step(8));
    world.time.runFor(1_500);
    CellWorld.Incarnation previous = node.startAlongside();
    previous.storeView.disconnected = true;
    previous.workerView.unreachable.addAll(List.of("w0", "w2", "w3"));
    disconnectAllBut(previous, "w1");
    world.time.runFor(7_500);
    previous.kill();
    healViews("w1");
    world.time.runFor(LONG_RECOVERY_MILLIS);
  }

  /**
   * Guards against the old process resuming and extending a lease that its successor took for
   * expired.
   */
  @Test
  void processStartedAlongsideAPausedOneWaitsForItsLeases() {
    startAlongsideAPausedProcess(4_000);
    assertNoViolationsAndAllFinished();
  }

  private void startAlongsideAPausedProcess(long millis) {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    world.submit(other(node), "a", step(1));
    world.time.runFor(1_500);
    node.pause(millis);
    world.time.runFor(10);
    CellWorld.Incarnation previous = node.startAlongside();
    previous.cell.beginStop();
    disconnectAllBut(previous, "w0");
    world.time.runFor(7_500);
    previous.kill();
    healViews("w0");
    world.time.runFor(LONG_RECOVERY_MILLIS);
  }

  /**
   * Guards against two processes taking the cell from each other at once, as the row held their own
   * name.
   */
  @Test
  void processesOfOneNameDoNotTakeTheCellFromEachOther() {
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    CellWorld.Incarnation previous = node.startAlongside();
    world.time.runFor(10_000);
    previous.kill();
    long held = world.log.stream().filter(line -> line.contains(" cell c0 held ")).count();
    assertTrue(held <= 3, () -> held + " times held\n" + String.join("\n", world.log));
  }

  /** Guards against both processes of one name starting the job that was submitted between them. */
  @Test
  void jobSubmittedWhileAProcessStartsAlongsideTheOldOneRunsOnce() {
    submitDuringATakeover(400, true);
    assertNoViolationsAndAllFinished();
  }

  /**
   * Guards against both holders starting the job that was submitted while the cell was released.
   */
  @Test
  void jobSubmittedWhileTheCellIsReleasedRunsOnce() {
    submitDuringATakeover(500, false);
    assertNoViolationsAndAllFinished();
  }

  private void submitDuringATakeover(long delay, boolean alongside) {
    world.workers.runMillis = 4_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    CellWorld.Incarnation previous = node.incarnation();
    previous.storeView.repliesLost = true;
    previous.cell.beginStop();
    if (alongside) {
      node.startAlongside();
    }
    disconnectAllBut(previous, "w1");
    world.time.runFor(delay);
    world.submit(other(node), "b", step(9));
    world.time.runFor(3_000);
    previous.kill();
    healViews("w1");
    world.time.runFor(RECOVERY_MILLIS);
  }

  /**
   * Guards against the previous holder continuing for a second because it got no reply to its
   * release.
   */
  @Test
  void holderWhoseReleaseIsNotAnsweredStartsNothingMore() {
    releaseWithoutAnswer(600);
    assertNoViolationsAndAllFinished();
  }

  private void releaseWithoutAnswer(long delay) {
    world.workers.runMillis = 4_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    node.storeView.repliesLost = true;
    node.process().beginStop();
    world.time.runFor(delay);
    world.submit(other(node), "b", step(9));
    world.time.runFor(RECOVERY_MILLIS);
  }

  /**
   * Guards against the first orders of a resumed holder reaching a new boot, which knows no fencing
   * token.
   */
  @Test
  void ordersOfAResumedHolderStartNothingInANewBoot() {
    resumeAfterANewBoot(6_000, 4_400, true);
    assertNoViolationsAndAllFinished();
  }

  private void resumeAfterANewBoot(long millis, long restartAfter, boolean listed) {
    world.workers.runMillis = 1_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = world.holder();
    world.submit(other(holder), "a", step(1), step(6, 0));
    runUntil(() -> world.workers.starts.size() >= 1, 1_000);
    world.time.runFor(20);
    holder.pause(millis);
    world.workers.runMillis = 8_000;
    world.time.runFor(restartAfter);
    world.workers.get("w1").restart(1_500);
    if (listed) {
      world.registerWorker("w1");
    }
    world.time.runFor(RECOVERY_MILLIS);
  }

  /**
   * Guards against a successor that trusts the release while the previous holder extends leases for
   * a second longer.
   */
  @Test
  void leasesExtendedWhileAReleaseIsNotAnsweredCount() {
    extendWhileAReleaseIsNotAnswered(300);
    assertNoViolationsAndAllFinished();
  }

  private void extendWhileAReleaseIsNotAnswered(long delay) {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    world.submit(other(node), "a", step(1));
    world.time.runFor(1_500 + delay);
    node.storeView.repliesLost = true;
    node.process().beginStop();
    disconnectAllBut(node.incarnation(), "w0");
    world.time.runFor(7_500);
    node.kill();
    healViews("w0");
    world.time.runFor(LONG_RECOVERY_MILLIS);
  }

  /**
   * Guards against a holder without the store taking leases for expired that its successor had
   * extended.
   */
  @Test
  void disconnectedHolderStartsNothingThatItsSuccessorFound() {
    disconnectWithOneWorker(7_500);
    assertNoViolationsAndAllFinished();
  }

  private void disconnectWithOneWorker(long millis) {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    world.submit(other(node), "a", step(8));
    world.time.runFor(1_500);
    node.storeView.disconnected = true;
    node.workerView.unreachable.addAll(List.of("w0", "w2", "w3"));
    disconnectAllBut(node.incarnation(), "w1");
    world.time.runFor(millis);
    node.storeView.disconnected = false;
    node.workerView.unreachable.clear();
    healViews("w1");
    world.time.runFor(LONG_RECOVERY_MILLIS);
  }

  /**
   * Guards against a stop that follows an order whose reply was lost, though another process holds
   * the cell by then.
   */
  @Test
  void deposedHolderStopsNothing() {
    world.workers.runMillis = 4_000;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    node.workerView.repliesLost = true;
    world.submit(other(node), "a", step(8));
    runUntil(() -> world.workers.starts.size() >= 8, 1_000);
    node.process().beginStop();
    world.time.runFor(100);
    int before = world.log.size();
    world.time.runFor(RECOVERY_MILLIS);
    List<String> stops =
        world.log.subList(before, world.log.size()).stream()
            .filter(line -> line.contains(" " + node.name + "/") && line.contains(" stop a."))
            .toList();
    assertEquals(List.of(), stops);
    assertNoViolationsAndAllFinished();
  }

  /**
   * Guards against an order that names the end of a lease on the clock of the previous boot, far
   * ahead of the new one.
   */
  @Test
  void lateOrderGrantsANewBootNoLongerLease() {
    lateOrderReachesANewBoot();
    assertNoViolationsAndAllFinished();
  }

  private void lateOrderReachesANewBoot() {
    world.workers.runMillis = 20_000;
    world.time.runFor(3 * SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    node.workerView.hold();
    world.workers.get("w1").restart(800);
    world.submit(other(node), "a", step(8));
    world.time.runFor(850);
    node.workerView.release();
    world.time.runFor(3);
    world.workers.get("w1").disconnected = true;
    world.time.runFor(8_000);
    world.workers.get("w1").disconnected = false;
    world.registerWorker("w1");
    world.time.runFor(LONG_RECOVERY_MILLIS);
  }

  /** Disconnects every other process from a worker. */
  private void disconnectAllBut(CellWorld.Incarnation incarnation, String worker) {
    for (CellWorld.Node node : world.nodes) {
      if (node.incarnation() != incarnation) {
        node.workerView.unreachable.add(worker);
      }
    }
  }

  private void healViews(String worker) {
    world.nodes.forEach(node -> node.workerView.unreachable.remove(worker));
  }

  private int other(CellWorld.Node node) {
    return world.nodes.indexOf(node) + 1;
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
