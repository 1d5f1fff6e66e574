package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.hemlockpick.cell.evacuation.RampUp;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how workers take up work again after the evacuation of their availability zone. */
class RampUpTest {
  private static final int WORKERS = 2;
  private static final String ZONE = Evacuations.zone(0);
  private static final String WORKER = "w0";
  private static final String OTHER = "w1";
  private static final long SETTLE_MILLIS = 8_000;

  /** Time within which the holder acts on a request or on its end, in milliseconds. */
  private static final long REACTION_MILLIS = 1_000;

  private final CellWorld world =
      new CellWorld(
          20261206, 2, WORKERS, CellWorld.LEASE_MILLIS, 120_000, 2, Evacuations.BOUND_MILLIS);

  @BeforeEach
  void settle() {
    world.workers.runMillis = 1_000;
    world.time.runFor(SETTLE_MILLIS);
  }

  /** Guards against giving a slow worker as much as any other at once. */
  @Test
  void slowWorkerGetsOneTaskAtATimeUntilOneCompletesInTime() {
    world.workers.get(WORKER).slowdown = 8;
    evacuateAndEnd(20_000);
    long from = world.time.millis();
    submitToAll();
    world.time.runFor(5_000);
    assertEquals(1, startsSince(from, WORKER));
    assertTrue(startsSince(from, OTHER) > 4);
    assertNoViolation();
  }

  /** Guards against a limit that stays though the worker is not slow any more. */
  @Test
  void limitDoublesWithTasksThatCompleteInTime() {
    evacuateAndEnd(20_000);
    long from = world.time.millis();
    submitToAll();
    world.time.runFor(500);
    assertEquals(1, startsSince(from, WORKER));
    world.time.runFor(4_500);
    assertTrue(startsSince(from, WORKER) >= 4, () -> String.join("\n", world.log));
    assertNoViolation();
  }

  /** Guards against a limit without an end at a worker where no task completes in time. */
  @Test
  void limitEndsTenSecondsAfterTheEvacuation() {
    world.workers.get(WORKER).slowdown = 100;
    evacuateAndEnd(60_000);
    long from = world.time.millis();
    submitToAll();
    world.time.runFor(RampUp.MAX_MILLIS - 2 * REACTION_MILLIS);
    assertEquals(1, startsSince(from, WORKER));
    submitToAll();
    world.time.runFor(4 * REACTION_MILLIS);
    assertTrue(startsSince(from, WORKER) > 1);
    assertFalse(lines("recovered").isEmpty());
    assertNoViolation();
  }

  /** Guards against a limit at workers that are not slow. */
  @Test
  void workerThatIsNotSlowTakesWorkAtOnce() {
    evacuateAndEnd(0);
    long from = world.time.millis();
    submitToAll();
    world.time.runFor(400);
    assertEquals(4, startsSince(from, WORKER));
    assertNoViolation();
  }

  /** Guards against urgent tasks on a slow worker while another one has capacity. */
  @Test
  void urgentTasksGoToOtherWorkersFirst() {
    evacuateAndEnd(20_000);
    long from = world.time.millis();
    world.submit(0, "u", step(4));
    world.time.runFor(400);
    assertEquals(0, startsSince(from, WORKER));
    assertEquals(4, startsSince(from, OTHER));
    assertNoViolation();
  }

  /** Guards against a limit from an earlier evacuation in the next one. */
  @Test
  void zoneThatIsEvacuatedAgainTakesNothing() {
    evacuateAndEnd(20_000);
    submitToAll();
    world.time.runFor(500);
    world.evacuations.begin(ZONE);
    world.time.runFor(REACTION_MILLIS);
    long from = world.time.millis();
    submitToAll();
    world.time.runFor(5_000);
    assertEquals(0, startsSince(from, WORKER));
    world.evacuations.end(ZONE);
    world.time.runFor(20_000);
    assertEquals(List.of(), world.unfinished());
    assertNoViolation();
  }

  /** Evacuates the zone of the worker, which then lists that it is slow for a time. */
  private void evacuateAndEnd(long coldMillis) {
    world.evacuations.begin(ZONE);
    world.time.runFor(2_000);
    world.evacuations.setCold(WORKER, coldMillis);
    world.time.runFor(REACTION_MILLIS);
    world.evacuations.end(ZONE);
    world.time.runFor(REACTION_MILLIS);
  }

  private int jobs;

  /** Submits more tasks than fit on all workers. */
  private void submitToAll() {
    world.submit(0, "j" + jobs++, step(16));
  }

  private long startsSince(long fromMillis, String worker) {
    return world.workers.startLog.stream()
        .filter(start -> start.atMillis() >= fromMillis)
        .map(Start::worker)
        .filter(worker::equals)
        .count();
  }

  private List<String> lines(String text) {
    return world.log.stream().filter(line -> line.contains(text)).toList();
  }

  private void assertNoViolation() {
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }
}
