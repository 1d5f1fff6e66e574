package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.junit.jupiter.api.Test;

/**
 * Tests a burst of twice the usual load while one of six availability zones is evacuated and filled
 * again, against the same load without an evacuation.
 */
class EvacuationBurstTest {
  private static final int ZONES = 6;
  private static final int WORKERS = 12;
  private static final int TASKS_PER_JOB = 11;
  private static final long SETTLE_MILLIS = 8_000;
  private static final long BURST_MILLIS = 60_000;
  private static final long INTERVAL_MILLIS = 150;
  private static final long COLD_MILLIS = 5_000;
  private static final int SLOWDOWN = 4;
  private static final String ZONE = Evacuations.zone(0);

  private final Map<String, Long> submittedAt = new HashMap<>();

  /** Waiting times of the tasks of a burst, in milliseconds. */
  private record Waits(long mean, long percentile99, long longest) {
    static Waits of(List<Long> waits) {
      List<Long> sorted = waits.stream().sorted().toList();
      long sum = sorted.stream().mapToLong(Long::longValue).sum();
      long percentile99 = sorted.get(sorted.size() * 99 / 100);
      return new Waits(sum / sorted.size(), percentile99, sorted.get(sorted.size() - 1));
    }
  }

  /** Guards against starts in the zone after the bound, and against tasks that wait for it. */
  @Test
  void tasksWaitLittleLongerWhileAZoneIsEvacuatedAndFilledAgain() {
    Waits usual = play(false);
    Waits evacuated = play(true);
    String compared = evacuated + " with an evacuation, " + usual + " without";
    assertTrue(evacuated.mean() <= usual.mean() + 100, compared);
    assertTrue(evacuated.percentile99() <= usual.percentile99() + 500, compared);
    assertTrue(evacuated.longest() <= 3_000, compared);
  }

  private Waits play(boolean evacuates) {
    CellWorld world =
        new CellWorld(
            20261206, 3, WORKERS, CellWorld.LEASE_MILLIS, 120_000, ZONES, Evacuations.BOUND_MILLIS);
    world.time.runFor(SETTLE_MILLIS);
    submittedAt.clear();
    submit(world, 2 * INTERVAL_MILLIS, world.time.millis() + BURST_MILLIS / 6);
    world.time.runFor(BURST_MILLIS / 6);
    submit(world, INTERVAL_MILLIS, world.time.millis() + BURST_MILLIS);
    world.time.runFor(BURST_MILLIS / 6);
    if (evacuates) {
      world.time.after(0, () -> world.evacuations.begin(ZONE));
      world.time.after(BURST_MILLIS / 3, () -> fillAgain(world));
    }
    world.time.runFor(BURST_MILLIS);
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
    return Waits.of(
        world.workers.startLog.stream()
            .filter(start -> start.run().task().job().startsWith("b"))
            .map(this::waited)
            .toList());
  }

  private long waited(Start start) {
    return start.atMillis() - submittedAt.getOrDefault(start.run().task().job(), 0L);
  }

  private void submit(CellWorld world, long intervalMillis, long untilMillis) {
    if (world.time.millis() >= untilMillis) {
      return;
    }
    String id = (intervalMillis == INTERVAL_MILLIS ? "b" : "a") + submittedAt.size();
    submittedAt.put(id, world.time.millis());
    world.submit(0, id, CellWorld.step(TASKS_PER_JOB));
    world.time.after(intervalMillis, () -> submit(world, intervalMillis, untilMillis));
  }

  /** Ends the evacuation; the workers of the zone are slow for a while. */
  private static void fillAgain(CellWorld world) {
    for (FakeWorkers.Model worker : world.workers.all()) {
      if (world.evacuations.zoneOf(worker.id()).equals(ZONE)) {
        world.evacuations.setCold(worker.id(), COLD_MILLIS);
        worker.slowdown = SLOWDOWN;
        world.time.after(COLD_MILLIS, () -> worker.slowdown = 1);
      }
    }
    world.evacuations.end(ZONE);
  }
}
