package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how long-running tasks are moved out of an evacuated availability zone. */
class EvacuationMoveTest {
  private static final int ZONES = 3;
  private static final int WORKERS = 6;
  private static final long STATUS_KEEP_MILLIS = 600_000;
  private static final long FOREVER_MILLIS = 10_000_000;
  private static final long SETTLE_MILLIS = 8_000;
  private static final long STEP_MILLIS = 10;
  private static final String ZONE = Evacuations.zone(0);

  private final CellWorld world =
      new CellWorld(
          20261206,
          3,
          WORKERS,
          CellWorld.LEASE_MILLIS,
          STATUS_KEEP_MILLIS,
          ZONES,
          Evacuations.BOUND_MILLIS);

  @BeforeEach
  void settle() {
    world.workers.runMillis = FOREVER_MILLIS;
    world.time.runFor(SETTLE_MILLIS);
  }

  private static Step step(
      int count, int cpuMillis, boolean gang, boolean filler, @Nullable Integer maxUnavailable) {
    return new Step(
        count,
        new ResourceAmounts(cpuMillis, 100, 0),
        500,
        List.of(),
        false,
        gang,
        false,
        null,
        null,
        0,
        false,
        true,
        "image",
        0,
        filler,
        maxUnavailable);
  }

  /** Guards against stopping several tasks at a time of a step that names no limit. */
  @Test
  void tasksOfAStepWithoutALimitAreMovedOneAtATime() {
    assertEquals(1, mostAwayWhileMoved(step(9, 2_000, false, false, null)));
    assertEquals(0, countIn(ZONE));
  }

  /** Guards against exceeding the limit of a step. */
  @Test
  void tasksOfAStepAreMovedWithinItsLimit() {
    int mostAway = mostAwayWhileMoved(step(9, 2_000, false, false, 2));
    assertTrue(mostAway <= 2, () -> mostAway + " away");
    assertEquals(0, countIn(ZONE));
  }

  /** Guards against a stop without a place elsewhere, and against leases that are not extended. */
  @Test
  void nothingIsStoppedWithoutCapacityElsewhere() {
    submit("l", step(WORKERS, 5_000, false, false, null));
    world.evacuations.begin(ZONE);
    world.time.runFor(30_000);
    assertEquals(List.of(), lines(" stop "));
    assertEquals(2, countIn(ZONE));
    assertEquals(List.of(), world.workers.lapsedRuns);
    assertNoViolation();
  }

  /** Guards against stopping a gang, or a filler, for which there is no capacity at once. */
  @Test
  void gangsAndFillersStayWithoutCapacityForThemAtOnce() {
    submit("g", step(WORKERS, 5_000, true, false, null));
    submit("f", step(WORKERS, 2_500, false, true, null));
    world.evacuations.begin(ZONE);
    world.time.runFor(30_000);
    assertEquals(List.of(), lines(" stop g"));
    assertNoViolation();
  }

  /** Guards against a gang that stays though there is capacity for all its members elsewhere. */
  @Test
  void gangIsMovedIfThereIsCapacityForAllOfIt() {
    submit("g", step(3, 2_000, true, false, null));
    world.evacuations.begin(zoneOfFirst("g"));
    world.time.runFor(15_000);
    assertEquals(0, countIn(zoneOfFirst("g")));
    assertTrue(world.workers.isAtWork(new TaskId("g", 0, 0, 0)));
    assertNoViolation();
  }

  /** Guards against a long-running filler that stays though there is capacity elsewhere. */
  @Test
  void fillerIsMovedIfThereIsCapacityElsewhere() {
    submit("f", step(3, 2_000, false, true, null));
    String zone = zoneOfFirst("f");
    world.evacuations.begin(zone);
    world.time.runFor(20_000);
    assertEquals(0, countIn(zone));
    assertEquals(3, world.workers.running());
    assertNoViolation();
  }

  /** Guards against leaving a task in the zone whose order was carried out late. */
  @Test
  void taskThatAWorkerStartsLateIsMoved() {
    world.holder().workerView.unreachable.addAll(Set.of("w1", "w2", "w4", "w5"));
    world.workers.lateOrderProbability = 1;
    world.submit(0, "l", step(2, 2_000, false, false, null));
    world.time.runFor(1_000);
    world.evacuations.begin(ZONE);
    world.workers.lateOrderProbability = 0;
    world.time.runFor(15_000);
    world.nodes.forEach(node -> node.workerView.unreachable.clear());
    world.time.runFor(30_000);
    assertEquals(0, countIn(ZONE));
    assertEquals(2, world.workers.running());
    assertNoViolation();
  }

  /** Guards against a successor that leaves the tasks which it adopts in an evacuated zone. */
  @Test
  void successorMovesTheTasksThatItAdopts() {
    submit("l", step(9, 2_000, false, false, null));
    world.holder().kill();
    world.evacuations.begin(ZONE);
    world.time.runFor(30_000);
    assertEquals(0, countIn(ZONE));
    assertEquals(9, world.workers.running());
    assertNoViolation();
  }

  /** Guards against moves that go on, or take tasks back, once the evacuation has ended. */
  @Test
  void nothingIsStoppedAfterTheEvacuation() {
    submit("l", step(9, 2_000, false, false, null));
    world.evacuations.begin(ZONE);
    world.time.runFor(700);
    world.evacuations.end(ZONE);
    world.time.runFor(1_000);
    int stops = lines(" stop ").size();
    world.time.runFor(20_000);
    assertEquals(stops, lines(" stop ").size());
    assertEquals(9, world.workers.running());
    assertNoViolation();
  }

  /** Moves the tasks of a step and returns how many of them were not at work at most. */
  private int mostAwayWhileMoved(Step step) {
    submit("l", step);
    assertFalse(countIn(ZONE) == 0);
    world.evacuations.begin(ZONE);
    int mostAway = 0;
    for (int i = 0; i < 3_000; i++) {
      world.time.runFor(STEP_MILLIS);
      int away = 0;
      for (int j = 0; j < step.count(); j++) {
        away += world.workers.isAtWork(new TaskId("l", 0, 0, j)) ? 0 : 1;
      }
      mostAway = Math.max(mostAway, away);
    }
    assertNoViolation();
    return mostAway;
  }

  private void submit(String id, Step step) {
    world.submit(0, id, step);
    world.time.runFor(2_000);
    assertTrue(world.workers.isAnyRunning(id));
  }

  private String zoneOfFirst(String job) {
    return world.evacuations.zoneOf(
        world.workers.startLog.stream()
            .filter(start -> start.run().task().job().equals(job))
            .findFirst()
            .orElseThrow()
            .worker());
  }

  /** Returns how many runs are in a zone, by the last start of each task that runs. */
  private int countIn(String zone) {
    Map<TaskId, String> workers = new HashMap<>();
    for (FakeWorkers.Start start : new ArrayList<>(world.workers.startLog)) {
      RunId run = start.run();
      workers.put(run.task(), start.worker());
    }
    return (int)
        workers.entrySet().stream()
            .filter(entry -> world.workers.isRunning(entry.getKey()))
            .filter(entry -> world.evacuations.zoneOf(entry.getValue()).equals(zone))
            .count();
  }

  private List<String> lines(String text) {
    return world.log.stream().filter(line -> line.contains(text)).toList();
  }

  private void assertNoViolation() {
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }
}
