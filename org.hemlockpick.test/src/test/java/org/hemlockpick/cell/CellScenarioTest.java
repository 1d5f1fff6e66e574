package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.proto.LearnedRecord;
import org.junit.jupiter.api.Test;

/** Tests jobs of a cell without faults and through single faults. */
class CellScenarioTest {
  private static final long SETTLE_MILLIS = 3_000;

  private final CellWorld world = new CellWorld(20261204, 3, 4);

  @Test
  void jobRunsItsStepsInOrder() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(4), step(6, 0), step(2, 1));
    world.time.runFor(6_000);
    assertEquals(JobState.COMPLETED, world.state("a"), () -> String.join("\n", world.log));
    assertEquals(12, world.workers.starts.size());
    assertNoViolations();
  }

  @Test
  void jobSubmittedTwiceRunsOnce() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(3));
    world.submit(1, "a", step(3));
    world.time.runFor(4_000);
    assertEquals(3, world.workers.starts.size());
    assertNoViolations();
  }

  @Test
  void tasksContinueWhenTheHolderIsKilled() {
    world.workers.runMillis = 4_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8), step(4, 0));
    world.time.runFor(1_000);
    world.holder().kill();
    world.time.runFor(20_000);
    assertEquals(List.of(), world.unfinished());
    assertEquals(12, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  @Test
  void jobsAreStartedSoonAfterTheHolderIsKilled() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(2));
    world.time.runFor(1_000);
    int index = world.nodes.indexOf(world.holder());
    world.holder().kill();
    world.submit(index + 1, "b", step(2));
    world.time.runFor(CellTiming.TAKEOVER_MILLIS + 2_500);
    assertEquals(JobState.COMPLETED, world.state("b"));
    assertNoViolations();
  }

  @Test
  void restartedProcessTakesItsCellBackAtOnce() {
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node node = world.holder();
    node.kill();
    world.time.runFor(200);
    node.start();
    world.time.runFor(400);
    assertEquals(node, world.holder());
    assertNoViolations();
  }

  @Test
  void holderThatResumesLateSendsNoOrders() {
    world.workers.runMillis = 2_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8), step(8, 0));
    world.time.runFor(500);
    world.holder().suspend(6_000);
    world.time.runFor(25_000);
    assertEquals(List.of(), world.unfinished());
    assertNoViolations();
  }

  @Test
  void holderThatAloneLosesTheStoreIsReplaced() {
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node previous = world.holder();
    previous.storeView.disconnected = true;
    world.submit(world.nodes.indexOf(previous) + 1, "a", step(5), step(5, 0));
    world.time.runFor(12_000);
    previous.storeView.disconnected = false;
    assertEquals(List.of(), world.unfinished());
    assertNoViolations();
  }

  @Test
  void tasksOfAnUnreachableWorkerRunElsewhereOnceItsLeaseHasExpired() {
    world.workers.runMillis = 3_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8));
    world.time.runFor(500);
    world.workers.get("w1").disconnected = true;
    world.store.remove("workers", "w1");
    world.time.runFor(20_000);
    assertEquals(List.of(), world.unfinished());
    assertNoViolations();
  }

  @Test
  void tasksOfARestartedWorkerRunAgainAtOnce() {
    world.workers.runMillis = 3_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8));
    world.time.runFor(500);
    world.workers.get("w1").restart();
    world.registerWorker("w1");
    world.time.runFor(9_000);
    assertEquals(List.of(), world.unfinished());
    assertNoViolations();
  }

  @Test
  void storeOutageEndsNoRun() {
    world.workers.runMillis = 3_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8), step(2, 0));
    world.time.runFor(500);
    world.store.unresponsive = true;
    world.time.runFor(5_000);
    world.store.unresponsive = false;
    world.time.runFor(10_000);
    assertEquals(List.of(), world.unfinished());
    assertEquals(10, world.workers.starts.size());
    assertNoViolations();
  }

  @Test
  void jobsAreFoundWhenTheWatchHistoryIsLost() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(2));
    world.store.forgetHistory();
    world.time.runFor(200);
    world.store.forgetHistory();
    world.time.runFor(5_000);
    assertEquals(List.of(), world.unfinished());
    assertNoViolations();
  }

  /** Each part of a slow service carries out four transactions a second. */
  @Test
  void slowServiceTakesTheJobsOfSeveralParts() {
    world.time.runFor(SETTLE_MILLIS);
    world.store.transactionMillis = 240;
    for (int i = 0; i < 30; i++) {
      world.submit(i, "j" + i, step(1));
      world.time.runFor(100);
    }
    world.time.runFor(3_000);
    assertEquals(List.of(), world.unfinished(), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  /** The rows of a job are removed when its state is no longer returned to callers. */
  @Test
  void rowsOfACompletedJobAreRemoved() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(2));
    world.time.runFor(3_000);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertTrue(world.store.value("progress", "a").isPresent());
    world.time.runFor(130_000);
    assertEquals(null, world.state("a"));
    assertTrue(world.store.value("progress", "a").isEmpty());
  }

  /**
   * An entry instance that is disconnected from the store refuses callers soon enough for them to
   * try another one.
   */
  @Test
  void entryInstanceWithoutTheStoreSendsCallersElsewhereAtOnce() {
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node disconnected = world.nodes.get(0);
    disconnected.storeView.disconnected = true;
    long first = disconnected.timeToReply("a");
    long second = disconnected.timeToReply("b");
    assertTrue(first <= 1_100, () -> first + " ms");
    assertTrue(second <= 500, () -> second + " ms");
    assertNoViolations();
  }

  /** A write that was never sent is refused as not run, and is accepted once the store is back. */
  @Test
  void callIsAcceptedWhenTheStoreRecoversInTime() {
    world.time.runFor(SETTLE_MILLIS);
    world.store.unresponsive = true;
    world.time.runFor(2_000);
    world.submit(0, "a", step(1));
    world.time.runFor(300);
    world.store.unresponsive = false;
    world.time.runFor(4_000);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertNoViolations();
  }

  @Test
  void learnedRunTimesAreStored() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(4));
    world.time.runFor(4_000);
    LearnedRecord learned =
        world.store.value("cells", "c0/learned").flatMap(CellRows::learned).orElseThrow();
    assertEquals(CellWorld.QUEUE, learned.getMeans(0).getQueue());
    assertTrue(learned.getMeans(0).getMillis() >= 250);
  }

  @Test
  void canceledJobIsStoppedAndNeverStartedAgain() {
    world.workers.runMillis = 5_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(20));
    world.time.runFor(500);
    world.nodes.get(1).process().cancel(CellWorld.address("a"), "caller", 1_000, reply -> {});
    world.time.runFor(1_000);
    assertEquals(0, world.workers.running());
    assertEquals(JobState.CANCELED, world.state("a"));
    int starts = world.workers.starts.size();
    world.time.runFor(5_000);
    assertEquals(starts, world.workers.starts.size());
    assertNoViolations();
  }

  @Test
  void plannedStopHandsTheCellOverAtOnce() {
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node previous = world.holder();
    previous.process().beginStop();
    world.time.runFor(1_500);
    assertTrue(world.holder() != previous);
    assertNoViolations();
  }

  /**
   * Guards against a stop that never finds a moment with nothing to store because work goes on
   * without a pause.
   */
  @Test
  void plannedStopHandsTheCellOverAtOnceUnderLoad() {
    world.workers.runMillis = 40;
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node previous = world.holder();
    int other = world.nodes.indexOf(previous) + 1;
    for (int i = 0; i < 20; i++) {
      world.submit(other, "j" + i, step(100));
    }
    world.time.runFor(500);
    previous.process().beginStop();
    world.time.runFor(200);
    assertTrue(previous.process().isIdle(), () -> String.join("\n", world.log));
    world.time.runFor(10_000);
    assertEquals(List.of(), world.unfinished());
    assertNoViolations();
  }

  /** Guards against a new holder reporting that no job waits before it has read the jobs. */
  @Test
  void waitingJobsAreReportedThroughATakeover() {
    world.workers.runMillis = 30_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(16));
    world.time.runFor(500);
    for (int i = 0; i < 10; i++) {
      world.submit(0, "j" + i, step(16));
    }
    world.time.runFor(3_000);
    world.holder().kill();
    List<String> undercounts = new ArrayList<>();
    for (int i = 0; i < 4_000; i++) {
      world.time.runFor(1);
      for (CellWorld.Node node : world.nodes) {
        CellMember process = node.process;
        if (process != null && process.waitingJobs(CellWorld.QUEUE).waiting() < 10) {
          undercounts.add(node.name + " " + process.waitingJobs(CellWorld.QUEUE) + " at " + i);
        }
      }
    }
    assertEquals(List.of(), undercounts);
  }

  /** The list still names a worker for seconds after another worker has taken its address. */
  @Test
  void workerWhoseAddressWasReassignedIsNotPolledAgain() {
    world.time.runFor(SETTLE_MILLIS);
    FakeWorkers.Model worker = world.workers.get("w1");
    worker.replaced = true;
    int before = worker.holdCalls;
    world.time.runFor(5_000);
    int polled = worker.holdCalls - before;
    assertTrue(polled <= 2, () -> "polled " + polled + " times");
    worker.replaced = false;
    worker.restart();
    world.registerWorker("w1");
    world.submit(0, "a", step(16));
    world.time.runFor(4_000);
    assertEquals(JobState.COMPLETED, world.state("a"), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  /** The tasks of the lost worker and of one that restarts after the takeover run again soon. */
  @Test
  void workersLostBeforeATakeoverDelayOnlyTheirOwnTasks() {
    world.workers.runMillis = 30_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8));
    world.time.runFor(1_000);
    world.workers.get("w1").disconnected = true;
    world.store.remove("workers", "w1");
    world.time.runFor(2_500);
    world.holder().kill();
    world.time.runFor(CellTiming.TAKEOVER_MILLIS + 1_000);
    world.workers.get("w2").restart();
    world.registerWorker("w2");
    world.time.runFor(3_500);
    assertEquals(12, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  /**
   * The new holder has seen the task of the restarted worker there, so that it can run nowhere
   * else.
   */
  @Test
  void locatedTaskRestartsWhileAnotherWorkerIsUnreachableSinceTheTakeover() {
    world.workers.runMillis = 30_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8));
    world.time.runFor(1_000);
    world.workers.get("w1").disconnected = true;
    world.holder().kill();
    world.time.runFor(CellTiming.TAKEOVER_MILLIS + 1_000);
    world.workers.get("w2").restart();
    world.registerWorker("w2");
    world.time.runFor(3_500);
    assertEquals(10, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  /** The new holder has granted this worker no lease yet, but the previous one has. */
  @Test
  void tasksOfAnUnlistedWorkerContinueThroughATakeover() {
    world.workers.runMillis = 8_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8));
    world.time.runFor(1_000);
    world.store.remove("workers", "w1");
    world.time.runFor(600);
    world.holder().kill();
    world.time.runFor(20_000);
    assertEquals(8, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  /** A new holder does not wait for a worker that left after it was drained. */
  @Test
  void workerThatLeftIdleDelaysNoTakeover() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(8));
    world.time.runFor(3_000);
    world.workers.get("w1").disconnected = true;
    world.store.remove("workers", "w1");
    world.time.runFor(1_500);
    world.submit(0, "b", step(2), step(2, 0));
    world.time.runFor(100);
    world.holder().kill();
    world.time.runFor(CellTiming.TAKEOVER_MILLIS + 4_000);
    assertEquals(JobState.COMPLETED, world.state("b"), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  /** A worker reports a completion until it is acknowledged, also to the next holder. */
  @Test
  void failureReportedToTwoHoldersIsCountedOnce() {
    world.workers.failureProbability = 1;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(1));
    long latest = world.time.millis() + 20_000;
    for (int count = 1; count <= 5; count++) {
      while (world.failures("a") < count && world.time.millis() < latest) {
        world.time.runFor(5);
      }
      CellWorld.Node holder = world.holder();
      holder.kill();
      holder.start();
    }
    assertEquals(5, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertNoViolations();
  }

  private void assertNoViolations() {
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }
}
