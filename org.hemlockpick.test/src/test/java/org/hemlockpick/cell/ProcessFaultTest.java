package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** What real processes do: they stand still, overlap, and send what they decided on long before. */
class ProcessFaultTest {
  /** Time after which the clocks of the workers are beyond the length of a lease. */
  private static final long SETTLED = 10_000;

  private static final long HEALING = 25_000;
  private static final long LONG_HEALING = 60_000;

  private final CellWorld world = new CellWorld(20261204, 3, 4);

  /** Late answers made a worker look as if it had started anew, then as if its lease had ended. */
  @Test
  void tasksOfAnUnlistedWorkerGoOnWhenTheirHolderStoodStill() {
    standStillWithOrdersUnderWay(1_600, 410);
    assertClean();
  }

  private void standStillWithOrdersUnderWay(long millis, long unlistedFor) {
    world.workers.runMillis = 12_000;
    world.time.runFor(SETTLED);
    CellWorld.Node holder = world.holder();
    world.store.remove("workers", "w1");
    world.time.runFor(unlistedFor);
    world.submit(other(holder), "a", step(12));
    runUntil(() -> world.workers.starts.size() >= 12, 1_000);
    holder.stop(millis);
    world.time.runFor(HEALING);
  }

  /** The same, where the call that renews the lease fails while the holder stands still. */
  @Test
  void tasksOfAWorkerWhoseNextCallFailsGoOnWhenTheirHolderStoodStill() {
    standStillWhileTheNextCallFails(1_600, 100);
    assertClean();
  }

  private void standStillWhileTheNextCallFails(long millis, long cutAfter) {
    world.workers.runMillis = 12_000;
    world.time.runFor(SETTLED);
    CellWorld.Node holder = world.holder();
    world.submit(other(holder), "a", step(4));
    world.time.runFor(1_200);
    world.submit(other(holder), "b", step(8));
    runUntil(() -> world.workers.starts.size() >= 12, 1_000);
    holder.stop(millis);
    world.time.runFor(cutAfter);
    world.workers.get("w1").cut = true;
    world.time.runFor(millis - cutAfter + 50);
    world.workers.get("w1").cut = false;
    world.time.runFor(HEALING);
  }

  /** Ends of the boot before were confirmed to a new boot, which forgot an end of its own. */
  @Test
  void endOfANewBootIsNotConfirmedByAHolderThatReadsAnOldAnswerLate() {
    readAnOldAnswerLate(55, 1_000);
    assertClean();
  }

  private void readAnOldAnswerLate(long submitAfter, long millis) {
    world.workers.runMillis = 20;
    world.time.runFor(SETTLED);
    CellWorld.Node holder = world.holder();
    world.submit(other(holder), "a", step(8));
    runUntil(() -> world.workers.starts.size() >= 8, 1_000);
    world.time.runFor(submitAfter);
    holder.life().stopBeforeSending(millis);
    world.submit(other(holder), "b", step(8));
    runUntil(holder::isStill, 1_000);
    world.time.runFor(10);
    world.workers.get("w1").restart(750);
    world.time.runFor(760);
    holder.workerView.answersLost = true;
    holder.workerView.release();
    holder.workerView.answersLost = false;
    world.time.runFor(HEALING);
  }

  /** An order that was decided on under an old lease was sent after the tasks ran elsewhere. */
  @Test
  void orderThatIsSentLongAfterItsLeaseWasCheckedStartsNothing() {
    sendLate(16_000, 15_990, false);
    assertClean();
  }

  /** The same, where the worker has started anew: its clock is back, and it knows no fence. */
  @Test
  void orderThatIsSentLongAfterItsLeaseWasCheckedStartsNothingInANewBoot() {
    sendLate(4_000, 2_450, true);
    assertClean();
  }

  private void sendLate(long millis, long cutFor, boolean restart) {
    world.workers.runMillis = 6_000;
    world.time.runFor(SETTLED);
    CellWorld.Node holder = world.holder();
    holder.life().stopBeforeSending(millis);
    world.submit(other(holder), "a", step(12));
    runUntil(holder::isStill, 2_000);
    world.workers.get("w1").cut = true;
    world.time.runFor(cutFor);
    if (restart) {
      world.workers.get("w1").restart(1_500);
      world.list("w1");
    }
    world.workers.get("w1").cut = false;
    world.time.runFor(HEALING + millis);
  }

  /** A process that started counted on the end of the one before it, which went on. */
  @Test
  void processThatStartsBesideTheOldOneWaitsForItsLeases() {
    startBesideACutProcess();
    assertClean();
  }

  private void startBesideACutProcess() {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLED);
    CellWorld.Node node = world.holder();
    world.submit(other(node), "a", step(8));
    world.time.runFor(1_500);
    CellWorld.Life former = node.startBeside();
    former.storeView.cut = true;
    former.workerView.unreached.addAll(List.of("w0", "w2", "w3"));
    cutAllBut(former, "w1");
    world.time.runFor(7_500);
    former.kill();
    healViews("w1");
    world.time.runFor(LONG_HEALING);
  }

  /** The old process stood still, woke, and renewed a lease that its successor took for ended. */
  @Test
  void processThatStartsBesideAnOldOneThatStandsStillWaitsForItsLeases() {
    startBesideAStoppedProcess(4_000);
    assertClean();
  }

  private void startBesideAStoppedProcess(long millis) {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLED);
    CellWorld.Node node = world.holder();
    world.submit(other(node), "a", step(1));
    world.time.runFor(1_500);
    node.stop(millis);
    world.time.runFor(10);
    CellWorld.Life former = node.startBeside();
    former.cell.beginStop();
    cutAllBut(former, "w0");
    world.time.runFor(7_500);
    former.kill();
    healViews("w0");
    world.time.runFor(LONG_HEALING);
  }

  /** Each process took the cell from the other at once, as the row had its own name. */
  @Test
  void processesOfOneNameDoNotTakeTheCellFromEachOther() {
    world.time.runFor(SETTLED);
    CellWorld.Node node = world.holder();
    CellWorld.Life former = node.startBeside();
    world.time.runFor(10_000);
    former.kill();
    long held = world.log.stream().filter(line -> line.contains(" cell c0 held ")).count();
    assertTrue(held <= 3, () -> held + " times held\n" + String.join("\n", world.log));
  }

  /** Both processes of one name started the job that was handed in between them. */
  @Test
  void jobThatIsHandedInWhileAProcessStartsBesideTheOldOneRunsOnce() {
    handInAtATakeOver(400, true);
    assertClean();
  }

  /** Both holders started the job that was handed in while the cell was released. */
  @Test
  void jobThatIsHandedInWhileTheCellIsReleasedRunsOnce() {
    handInAtATakeOver(500, false);
    assertClean();
  }

  private void handInAtATakeOver(long delay, boolean beside) {
    world.workers.runMillis = 4_000;
    world.time.runFor(SETTLED);
    CellWorld.Node node = world.holder();
    CellWorld.Life former = node.life();
    former.storeView.answersLost = true;
    former.cell.beginStop();
    if (beside) {
      node.startBeside();
    }
    cutAllBut(former, "w1");
    world.time.runFor(delay);
    world.submit(other(node), "b", step(9));
    world.time.runFor(3_000);
    former.kill();
    healViews("w1");
    world.time.runFor(HEALING);
  }

  /** The former holder went on for a second as it did not hear that the cell was released. */
  @Test
  void holderWhoseReleaseIsNotAnsweredStartsNothingMore() {
    releaseWithoutAnswer(600);
    assertClean();
  }

  private void releaseWithoutAnswer(long delay) {
    world.workers.runMillis = 4_000;
    world.time.runFor(SETTLED);
    CellWorld.Node node = world.holder();
    node.storeView.answersLost = true;
    node.process().beginStop();
    world.time.runFor(delay);
    world.submit(other(node), "b", step(9));
    world.time.runFor(HEALING);
  }

  /** The first orders of a holder that woke reached a new boot, which knew no fence. */
  @Test
  void ordersOfAHolderThatWokeStartNothingInANewBoot() {
    wakeIntoANewBoot(6_000, 4_400, true);
    assertClean();
  }

  private void wakeIntoANewBoot(long millis, long restartAfter, boolean listed) {
    world.workers.runMillis = 1_000;
    world.time.runFor(SETTLED);
    CellWorld.Node holder = world.holder();
    world.submit(other(holder), "a", step(1), step(6, 0));
    runUntil(() -> world.workers.starts.size() >= 1, 1_000);
    world.time.runFor(20);
    holder.stop(millis);
    world.workers.runMillis = 8_000;
    world.time.runFor(restartAfter);
    world.workers.get("w1").restart(1_500);
    if (listed) {
      world.list("w1");
    }
    world.time.runFor(HEALING);
  }

  /** The successor trusted the release, and the former holder renewed leases a second longer. */
  @Test
  void leasesThatAreRenewedWhileAReleaseIsNotAnsweredCount() {
    renewWhileAReleaseIsNotAnswered(300);
    assertClean();
  }

  private void renewWhileAReleaseIsNotAnswered(long delay) {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLED);
    CellWorld.Node node = world.holder();
    world.submit(other(node), "a", step(1));
    world.time.runFor(1_500 + delay);
    node.storeView.answersLost = true;
    node.process().beginStop();
    cutAllBut(node.life(), "w0");
    world.time.runFor(7_500);
    node.kill();
    healViews("w0");
    world.time.runFor(LONG_HEALING);
  }

  /** A holder without the store took leases for ended that its successor had renewed. */
  @Test
  void holderThatIsCutOffStartsNothingThatItsSuccessorFound() {
    cutOffWithOneWorker(7_500);
    assertClean();
  }

  private void cutOffWithOneWorker(long millis) {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLED);
    CellWorld.Node node = world.holder();
    world.submit(other(node), "a", step(8));
    world.time.runFor(1_500);
    node.storeView.cut = true;
    node.workerView.unreached.addAll(List.of("w0", "w2", "w3"));
    cutAllBut(node.life(), "w1");
    world.time.runFor(millis);
    node.storeView.cut = false;
    node.workerView.unreached.clear();
    healViews("w1");
    world.time.runFor(LONG_HEALING);
  }

  /**
   * An order whose answer was lost was followed by a stop, though another held the cell by then.
   */
  @Test
  void holderThatWasDeposedStopsNothing() {
    world.workers.runMillis = 4_000;
    world.time.runFor(SETTLED);
    CellWorld.Node node = world.holder();
    node.workerView.answersLost = true;
    world.submit(other(node), "a", step(8));
    runUntil(() -> world.workers.starts.size() >= 8, 1_000);
    node.process().beginStop();
    world.time.runFor(100);
    int before = world.log.size();
    world.time.runFor(HEALING);
    List<String> stops =
        world.log.subList(before, world.log.size()).stream()
            .filter(line -> line.contains(" " + node.name + "/") && line.contains(" stop a."))
            .toList();
    assertEquals(List.of(), stops);
    assertClean();
  }

  /**
   * An order named the end of a lease on the clock of the boot before, far ahead of the new one.
   */
  @Test
  void orderThatReachesANewBootGrantsNoLongerLease() {
    orderReachesANewBoot();
    assertClean();
  }

  private void orderReachesANewBoot() {
    world.workers.runMillis = 20_000;
    world.time.runFor(3 * SETTLED);
    CellWorld.Node node = world.holder();
    node.workerView.hold();
    world.workers.get("w1").restart(800);
    world.submit(other(node), "a", step(8));
    world.time.runFor(850);
    node.workerView.release();
    world.time.runFor(3);
    world.workers.get("w1").cut = true;
    world.time.runFor(8_000);
    world.workers.get("w1").cut = false;
    world.list("w1");
    world.time.runFor(LONG_HEALING);
  }

  /** Cuts every other process from a worker. */
  private void cutAllBut(CellWorld.Life one, String worker) {
    for (CellWorld.Node node : world.nodes) {
      if (node.life() != one) {
        node.workerView.unreached.add(worker);
      }
    }
  }

  private void healViews(String worker) {
    world.nodes.forEach(node -> node.workerView.unreached.remove(worker));
  }

  private int other(CellWorld.Node node) {
    return world.nodes.indexOf(node) + 1;
  }

  private void runUntil(BooleanSupplier condition, long longestMillis) {
    long latest = world.time.millis() + longestMillis;
    while (!condition.getAsBoolean() && world.time.millis() < latest) {
      world.time.runFor(1);
    }
  }

  private void assertClean() {
    assertEquals(List.of(), world.workers.breaches, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.unfinished(), () -> String.join("\n", world.log));
  }
}
