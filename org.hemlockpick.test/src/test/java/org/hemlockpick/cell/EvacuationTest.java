package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that no task is started in an availability zone later than the bound after the confirmation
 * of a request to evacuate it. The world checks each order as it is given.
 */
class EvacuationTest {
  private static final int ZONES = 3;
  private static final int WORKERS = 6;
  private static final long STATUS_KEEP_MILLIS = 120_000;
  private static final long SUBMIT_INTERVAL_MILLIS = 200;
  private static final long SETTLE_MILLIS = 8_000;

  /** Time within which the holder acts on a request or on its end, in milliseconds. */
  private static final long REACTION_MILLIS = 1_000;

  private static final String ZONE = Evacuations.zone(0);

  private CellWorld world = world(Evacuations.BOUND_MILLIS);
  private int jobs;

  private static CellWorld world(long boundMillis) {
    return new CellWorld(
        20261206, 3, WORKERS, CellWorld.LEASE_MILLIS, STATUS_KEEP_MILLIS, ZONES, boundMillis);
  }

  @BeforeEach
  void settle() {
    world.time.runFor(SETTLE_MILLIS);
  }

  /** Guards against starts in an evacuated zone, and against tasks that are stopped there. */
  @Test
  void tasksAreStartedInOtherZonesUntilTheEvacuationEnds() {
    submitWithoutEnd();
    world.time.runFor(2_000);
    assertFalse(startsIn(ZONE, 0).isEmpty());
    world.evacuations.begin(ZONE);
    world.time.runFor(REACTION_MILLIS);
    long from = world.time.millis();
    world.time.runFor(10_000);
    assertEquals(List.of(), startsIn(ZONE, from));
    assertFalse(startsIn(Evacuations.zone(1), from).isEmpty());
    assertEquals(List.of(), lines(" stop "));
    world.evacuations.end(ZONE);
    world.time.runFor(REACTION_MILLIS);
    assertFalse(startsIn(ZONE, from).isEmpty());
    assertNoViolation();
  }

  /** Guards against reading or minding the requests where evacuation is disabled. */
  @Test
  void requestsAreNotReadIfEvacuationIsDisabled() {
    world = world(0);
    submitWithoutEnd();
    world.time.runFor(SETTLE_MILLIS);
    world.evacuations.begin(ZONE);
    // The operator may do so; no bound is promised.
    world.workers.onStartOrdered = worker -> {};
    long from = world.time.millis() + Evacuations.BOUND_MILLIS;
    world.time.runFor(2 * Evacuations.BOUND_MILLIS);
    assertFalse(startsIn(ZONE, from).isEmpty());
    assertTrue(
        world.store.rangesRead.stream()
            .noneMatch(range -> range.fromKey().startsWith(Evacuations.KEY_PREFIX)));
  }

  /** Guards against a successor that gives orders before it has read the requests. */
  @Test
  void successorOfAHolderKilledAsTheRequestIsConfirmedStartsNothingThere() {
    submitWithoutEnd();
    for (int i = 0; i < 6; i++) {
      world.time.runFor(2_000 + i * 83L);
      CellWorld.Node former = world.holder();
      world.evacuations.begin(ZONE);
      former.kill();
      world.time.runFor(2 * Evacuations.BOUND_MILLIS);
      former.start();
      assertFalse(startsIn(Evacuations.zone(1), world.time.millis() - 2_000).isEmpty());
      world.evacuations.end(ZONE);
      world.time.runFor(2_000);
    }
    assertNoViolation();
  }

  /** Guards against a successor whose reads of the requests fail while its other calls succeed. */
  @Test
  void nothingIsStartedUntilTheRequestsAreRead() {
    submitWithoutEnd();
    world.time.runFor(2_000);
    world.evacuations.begin(ZONE);
    for (CellWorld.Node node : world.nodes) {
      node.storeView.unreadableTable = "operator";
    }
    world.holder().kill();
    long from = world.time.millis();
    world.time.runFor(2 * Evacuations.BOUND_MILLIS);
    assertTrue(world.holder().process().isHolder());
    assertEquals(List.of(), startsAfter(from + FakeWorkers.LATENCY_MILLIS));
    world.nodes.forEach(node -> node.storeView.unreadableTable = "");
    long readable = world.time.millis();
    world.time.runFor(3_000);
    assertFalse(startsIn(Evacuations.zone(1), readable).isEmpty());
    assertNoViolation();
  }

  /** Guards against orders on a reading from before an outage in which the request was made. */
  @Test
  void nothingIsStartedThereAfterAnOutageAcrossTheRequest() {
    submitWithoutEnd();
    world.time.runFor(2_000);
    setStoreReachable(false);
    world.time.runFor(500);
    world.evacuations.begin(ZONE);
    world.time.runFor(Evacuations.BOUND_MILLIS + 2_000);
    setStoreReachable(true);
    world.time.runFor(2 * Evacuations.BOUND_MILLIS);
    assertFalse(startsIn(Evacuations.zone(1), world.time.millis() - 2_000).isEmpty());
    assertNoViolation();
  }

  /** Guards against a stale reading where only reads fail, while the lease is renewed. */
  @Test
  void staleReadingHoldsAllStartsWhileTheLeaseIsRenewed() {
    submitWithoutEnd();
    world.time.runFor(2_000);
    world.holder().storeView.unreadableTable = "operator";
    world.evacuations.begin(ZONE);
    world.time.runFor(Evacuations.BOUND_MILLIS);
    long from = world.time.millis();
    world.time.runFor(Evacuations.BOUND_MILLIS);
    assertEquals(List.of(), startsAfter(from));
    assertNoViolation();
  }

  /** Guards against counting the age of a reading on a clock that stood still. */
  @Test
  void holderSuspendedAcrossTheRequestStartsNothingThere() {
    submitWithoutEnd();
    for (long millis : new long[] {600, 1_900, 4_500, 7_000}) {
      world.time.runFor(2_000);
      CellWorld.Node holder = world.holder();
      holder.suspend(millis);
      world.time.runFor(100);
      world.evacuations.begin(ZONE);
      world.time.runFor(millis + 2 * Evacuations.BOUND_MILLIS);
      assertFalse(startsIn(Evacuations.zone(1), world.time.millis() - 2_000).isEmpty());
      world.evacuations.end(ZONE);
    }
    assertNoViolation();
  }

  /** Guards against an order that was decided on before the request and waits for a commit. */
  @Test
  void orderThatWaitsForACommitIsNotSentAfterTheRequest() {
    world.store.transactionMillis = 700;
    world.submit(0, "l", step(WORKERS, false, null, 1, true, List.of()));
    runUntilLogged(" l ");
    for (int i = 0; i < ZONES - 1; i++) {
      world.evacuations.begin(Evacuations.zone(i));
    }
    world.time.runFor(REACTION_MILLIS);
    long from = world.time.millis();
    world.time.runFor(4_000);
    for (int i = 0; i < ZONES - 1; i++) {
      assertEquals(List.of(), startsIn(Evacuations.zone(i), from));
    }
    assertFalse(startsIn(Evacuations.zone(ZONES - 1), 0).isEmpty());
    assertNoViolation();
  }

  /** Guards against repeating an order without an answer in a zone that is evacuated meanwhile. */
  @Test
  void orderWithoutAnswerIsNotRepeatedAfterTheRequest() {
    world.holder().workerView.startsLost = true;
    world.submit(0, "j", step(4 * WORKERS));
    runUntilLogged("order 1");
    for (int i = 0; i < ZONES; i++) {
      world.evacuations.begin(Evacuations.zone(i));
    }
    world.time.runFor(4_000);
    assertEquals(List.of(), lines("order 2"));
    assertFalse(lines(" stop ").isEmpty());
    assertFalse(lines("starts held").isEmpty());
    world.holder().workerView.startsLost = false;
    world.evacuations.endAll();
    world.time.runFor(10_000);
    assertEquals(List.of(), world.unfinished());
    assertNoViolation();
  }

  /** Guards against a request that is missed as it follows the end of another one. */
  @Test
  void overlappingEvacuationsInSeriesAreObserved() {
    submitWithoutEnd();
    for (int i = 0; i < 2 * ZONES; i++) {
      world.evacuations.begin(Evacuations.zone(i % ZONES));
      world.time.runFor(3_000);
      world.evacuations.end(Evacuations.zone((i + ZONES - 1) % ZONES));
      world.time.runFor(3_000 + i * 71L);
    }
    world.evacuations.endAll();
    world.time.runFor(10_000);
    assertNoViolation();
  }

  /** Guards against relying on an event for the end of an evacuation. */
  @Test
  void endOfAnEvacuationIsSeenThoughNoWatchShowsIt() {
    submitWithoutEnd();
    world.evacuations.begin(ZONE);
    world.time.runFor(3_000);
    world.store.watchesSilent = true;
    world.evacuations.end(ZONE);
    world.time.runFor(1);
    world.store.forgetHistory();
    world.store.watchesSilent = false;
    long from = world.time.millis();
    world.time.runFor(2 * REACTION_MILLIS);
    assertFalse(startsIn(ZONE, from).isEmpty());
    assertNoViolation();
  }

  /** Guards against tasks that are lost or stopped while no zone takes any. */
  @Test
  void nothingIsStartedWhileAllZonesAreEvacuated() {
    world.workers.runMillis = 2_000;
    world.submit(0, "l", step(2, false, null, 1, true, List.of()));
    world.workers.runMillisByJob.put("l", 1_000_000L);
    world.submit(0, "a", step(4 * WORKERS));
    world.time.runFor(1_000);
    for (int i = 0; i < ZONES; i++) {
      world.evacuations.begin(Evacuations.zone(i));
    }
    world.time.runFor(REACTION_MILLIS);
    long from = world.time.millis();
    world.submit(0, "b", step(WORKERS));
    world.time.runFor(3 * Evacuations.BOUND_MILLIS);
    assertEquals(List.of(), startsAfter(from));
    assertEquals(List.of(), lines(" stop "));
    assertTrue(world.workers.isAnyRunning("l"));
    world.evacuations.endAll();
    world.time.runFor(15_000);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertEquals(JobState.COMPLETED, world.state("b"));
    assertNoViolation();
  }

  /** Guards against the runs of a canceled job going on in an evacuated zone. */
  @Test
  void runsOfACanceledJobAreStoppedThere() {
    world.workers.runMillis = 1_000_000;
    world.submit(0, "l", step(WORKERS, false, null, 1, true, List.of()));
    world.time.runFor(1_500);
    for (int i = 0; i < ZONES; i++) {
      world.evacuations.begin(Evacuations.zone(i));
    }
    world.time.runFor(REACTION_MILLIS);
    world.nodes.get(1).process().cancel(CellWorld.address("l"), "caller", 1_000, reply -> {});
    world.time.runFor(2_000);
    assertFalse(world.workers.isAnyRunning("l"));
    assertNoViolation();
  }

  private void submitWithoutEnd() {
    world.submit(0, "s" + jobs++, step(3));
    world.time.after(SUBMIT_INTERVAL_MILLIS, this::submitWithoutEnd);
  }

  private void setStoreReachable(boolean reachable) {
    world.store.unresponsive = !reachable;
  }

  private void runUntilLogged(String text) {
    for (int i = 0; i < 300 && lines(text).isEmpty(); i++) {
      world.time.runFor(CellWorld.TICK_MILLIS);
    }
  }

  private List<Start> startsAfter(long fromMillis) {
    return world.workers.startLog.stream().filter(start -> start.atMillis() > fromMillis).toList();
  }

  private List<Start> startsIn(String zone, long fromMillis) {
    List<Start> starts = new ArrayList<>(startsAfter(fromMillis));
    starts.removeIf(start -> !world.evacuations.zoneOf(start.worker()).equals(zone));
    return starts;
  }

  private List<String> lines(String text) {
    return world.log.stream().filter(line -> line.contains(text)).toList();
  }

  private void assertNoViolation() {
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }
}
