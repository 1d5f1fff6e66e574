package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests workers whose capacity shrinks and grows while they run tasks. */
class ShrinkingCapacityTest {
  private static final long SETTLE_MILLIS = 3_000;

  /** Time after which a worker has written its entry anew. */
  private static final long HEARTBEAT_MILLIS = 1_100;

  /** Time from a worker's writing until the holder has read it: the interval, and the read. */
  private static final long READ_MILLIS = 500;

  /** Longer than a start may rely on a capacity that a worker had. */
  private static final long LONG_MILLIS = 7_000;

  /** Longest time until the next planning pass. */
  private static final long PLAN_MILLIS = 100;

  private static final long SUBMIT_INTERVAL_MILLIS = 100;
  private static final int CPU = 2_000;
  private static final ResourceAmounts SMALL = new ResourceAmounts(3_000, 32_000, 0);

  private CellWorld world = new CellWorld(20261204, 2, 0);
  private int shortJobs;

  private void createWorld(int workers, boolean guardsCapacity) {
    world = new CellWorld(20261204, 2, workers);
    world.setGuardsCapacity(guardsCapacity);
    world.workers.runMillis = 1_000;
    world.workers.runMillisByJob.put("l", 600_000L);
    world.time.runFor(SETTLE_MILLIS);
  }

  private static Step step(int count, long cpuMillis, boolean longRunning) {
    return new Step(
        count,
        new ResourceAmounts(cpuMillis, 1_000, 0),
        500,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        0,
        false,
        longRunning,
        "image",
        0,
        false,
        null);
  }

  /** Guards against starts at a worker that has less capacity than it runs, and against stops. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shrunkWorkerKeepsItsRunsAndGetsNoMore(boolean guardsCapacity) {
    createWorld(3, guardsCapacity);
    world.submit(0, "l", step(8, CPU, true));
    world.time.runFor(1_000);
    String worker = world.workers.startLog.get(0).worker();
    List<Start> kept = startsAt(worker, 0);
    assertTrue(kept.size() > 1, kept::toString);
    submitShort(1);
    world.resizeWorker(worker, SMALL, HEARTBEAT_MILLIS);
    world.time.runFor(HEARTBEAT_MILLIS + READ_MILLIS);
    long shrunkAt = world.time.millis();
    world.time.runFor(2 * LONG_MILLIS);
    assertEquals(List.of(), startsAt(worker, shrunkAt));
    assertEquals(List.of(), lines(" stop "));
    for (Start start : kept) {
      assertTrue(world.workers.isRunning(start.run().task()) || !isLong(start), start::toString);
    }
    assertNoViolations();
  }

  /** Guards against a worker that has grown again and is left idle. */
  @Test
  void grownWorkerIsUsedFromTheNextReadingOn() {
    createWorld(1, false);
    world.resizeWorker("w0", new ResourceAmounts(0, 0, 0), 0);
    world.time.runFor(READ_MILLIS);
    world.submit(0, "s", step(4, CPU, false));
    world.time.runFor(LONG_MILLIS);
    assertEquals(0, world.workers.running());
    world.resizeWorker("w0", CellWorld.WORKER_CAPACITY, 0);
    world.time.runFor(READ_MILLIS + 2 * PLAN_MILLIS);
    assertEquals(4, world.workers.running());
    assertNoViolations();
  }

  /** Guards against an order that follows a plan by seconds, when the capacity is gone. */
  @Test
  void placementThatIsStoredLateIsNotOrderedWhereTheCapacityIsGone() {
    createWorld(2, false);
    FakeStore.View store = world.holder().storeView;
    store.repliesLost = true;
    world.submit(0, "l", step(4, 4_000, true));
    world.time.runFor(300);
    assertEquals(List.of(), world.workers.startLog);
    world.resizeWorker("w0", SMALL, 0);
    // Shorter than it takes another process to take the cell.
    world.time.runFor(READ_MILLIS);
    store.repliesLost = false;
    world.time.runFor(SETTLE_MILLIS);
    assertEquals(List.of(), startsAt("w0", 0));
    assertEquals(2, startsAt("w1", 0).size());
    assertNoViolations();
  }

  /** Guards against a second order that starts a run where the capacity has gone meanwhile. */
  @Test
  void orderWithoutAnswerIsNotRepeatedWhereTheCapacityIsGone() {
    createWorld(1, false);
    FakeWorkers.View workers = world.holder().workerView;
    workers.startsLost = true;
    world.submit(0, "s", step(1, 4_000, false));
    world.time.runFor(300);
    assertEquals(1, lines(" start s").size());
    world.resizeWorker("w0", SMALL, 0);
    world.time.runFor(600);
    workers.startsLost = false;
    world.time.runFor(LONG_MILLIS);
    assertEquals(List.of(), startsAt("w0", 0));
    assertNoViolations();
  }

  /** Guards against orders in a loop, and against failures, where a worker refuses for capacity. */
  @Test
  void workerThatRefusesForCapacityGetsFewOrdersAndTasksDoNotFail() {
    createWorld(1, true);
    // Its entry says for good that it has its full capacity.
    world.workers.get("w0").setCapacity(SMALL);
    world.submit(0, "w", step(8, 4_000, false));
    world.time.runFor(HEARTBEAT_MILLIS + READ_MILLIS);
    List<Long> refusals = world.workers.get("w0").capacityRefusals;
    int first = refusals.size();
    world.time.runFor(10_000);
    int later = refusals.size() - first;
    assertTrue(later <= 10, () -> first + " orders refused at first, then " + later + " in 10 s");
    assertEquals(0, world.failures("w"));
    world.workers.get("w0").setCapacity(CellWorld.WORKER_CAPACITY);
    world.time.runFor(LONG_MILLIS);
    assertTrue(world.workers.starts.size() >= 4, world.workers.starts::toString);
    assertNoViolations();
  }

  /** Guards against a worker that refuses a large task and so gets no small one. */
  @Test
  void workerThatRefusesALargeTaskRunsSmallOnes() {
    createWorld(1, true);
    world.workers.get("w0").setCapacity(SMALL);
    world.submit(0, "w", step(1, 4_000, false));
    world.time.runFor(200);
    world.submit(0, "s", step(3, CPU, false));
    world.time.runFor(2 * LONG_MILLIS);
    assertEquals(3, startsAt("w0", 0).size());
    assertNoViolations();
  }

  /** Guards against starts in place of runs that are being stopped and take up capacity yet. */
  @Test
  void runsThatAreBeingStoppedCountUntilTheirEnd() {
    createWorld(1, false);
    world.submit(0, "l", step(4, CPU, true));
    world.time.runFor(1_000);
    world.submit(0, "s", step(8, CPU, false));
    world.resizeWorker("w0", new ResourceAmounts(4_000, 32_000, 0), 0);
    world.time.runFor(LONG_MILLIS);
    world.holder().process().cancel(CellWorld.address("l"), "caller", 1_000, reply -> {});
    world.time.runFor(LONG_MILLIS);
    assertEquals(12, startsAt("w0", 0).size());
    assertNoViolations();
  }

  /** Guards against starts that rely on the capacity of an earlier boot. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void laterBootIsGivenWhatItsOwnEntryAllows(boolean hasRuns) {
    createWorld(2, false);
    if (hasRuns) {
      world.submit(0, "l", step(4, CPU, true));
      world.time.runFor(1_000);
    }
    submitShort(4);
    world.time.runFor(1_000);
    world.workers.get("w0").restart(800, SMALL);
    world.time.after(SETTLE_MILLIS, () -> world.registerWorker("w0"));
    world.time.runFor(SETTLE_MILLIS + LONG_MILLIS);
    long upAt = world.workers.get("w0").upAt();
    assertFalse(startsAt("w0", upAt).isEmpty());
    assertNoViolations();
  }

  /** Guards against starts that rely on a capacity that was read too long ago. */
  @Test
  void unguardedCapacityThatWasReadLongAgoIsNotReliedOn() {
    createWorld(3, false);
    world.submit(0, "l", step(3, CPU, true));
    submitShort(2);
    world.time.runFor(2_000);
    readNoWorkers(true);
    world.time.runFor(100);
    world.resizeWorker("w0", SMALL, HEARTBEAT_MILLIS);
    world.time.runFor(2 * LONG_MILLIS);
    assertEquals(List.of(), lines(" stop "));
    assertEquals(List.of(), world.workers.lapsedRuns);
    assertNoViolations();
    readNoWorkers(false);
    long readAgainAt = world.time.millis();
    world.time.runFor(SETTLE_MILLIS);
    assertFalse(startsAt("w1", readAgainAt).isEmpty());
    assertNoViolations();
  }

  /** Guards against work that stands still where workers refuse what exceeds their capacity. */
  @Test
  void guardedServiceGoesOnWhileTheListCannotBeRead() {
    createWorld(3, true);
    submitShort(1);
    world.time.runFor(2_000);
    readNoWorkers(true);
    world.resizeWorker("w0", SMALL, HEARTBEAT_MILLIS);
    world.time.runFor(LONG_MILLIS);
    long longAgo = world.time.millis();
    world.time.runFor(LONG_MILLIS);
    int starts = startsAt("w0", longAgo).size() + startsAt("w1", longAgo).size();
    assertTrue(starts >= 20, () -> starts + " starts in " + LONG_MILLIS + " ms");
    assertNoViolations();
  }

  /** Guards against relying on workers to refuse when they no longer do. */
  @Test
  void serviceThatNoLongerGuardsIsNotReliedOnWhileTheListCannotBeRead() {
    createWorld(3, true);
    submitShort(2);
    world.time.runFor(2_000);
    readNoWorkers(true);
    world.time.runFor(LONG_MILLIS);
    world.setGuardsCapacity(false);
    world.time.runFor(READ_MILLIS);
    long changedAt = world.time.millis();
    world.time.runFor(SETTLE_MILLIS);
    assertEquals(0, world.workers.startLog.stream().filter(s -> s.atMillis() > changedAt).count());
  }

  /** Guards against shrunk workers that hide the capacity which others have free. */
  @Test
  void longRunningTaskFindsTheFreeWorkerBesideShrunkOnes() {
    createWorld(8, false);
    world.submit(0, "l", step(7, 6_000, true));
    world.time.runFor(2_000);
    for (Start start : List.copyOf(world.workers.startLog)) {
      world.resizeWorker(start.worker(), new ResourceAmounts(1_000, 32_000, 0), 0);
    }
    world.time.runFor(READ_MILLIS);
    world.workers.runMillisByJob.put("m", 600_000L);
    world.submit(0, "m", step(1, CPU, true));
    world.time.runFor(SETTLE_MILLIS);
    assertEquals(8, world.workers.startLog.size(), () -> lines(" wait ").toString());
    assertNoViolations();
  }

  private void readNoWorkers(boolean unreadable) {
    world.nodes.forEach(node -> node.storeView.unreadableTable = unreadable ? "workers" : "");
  }

  private void submitShort(int tasks) {
    world.submit(0, "s" + shortJobs++, step(tasks, CPU, false));
    world.time.after(SUBMIT_INTERVAL_MILLIS, () -> submitShort(tasks));
  }

  private static boolean isLong(Start start) {
    return start.run().task().job().equals("l");
  }

  private List<Start> startsAt(String worker, long sinceMillis) {
    return world.workers.startLog.stream()
        .filter(start -> start.worker().equals(worker) && start.atMillis() >= sinceMillis)
        .toList();
  }

  private List<String> lines(String part) {
    return world.log.stream().filter(line -> line.contains(part)).toList();
  }

  private void assertNoViolations() {
    assertEquals(List.of(), world.workers.violations);
  }
}
