package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks held workers that the instance list omits, and dead workers that it still shows. */
class InstanceListTest {
  /** Lease calls that one holder sends a dead worker per second at its longest call interval. */
  private static final int MAX_CALLS_PER_SECOND = 10;

  @Test
  void workerThatIsMissingFromTheListButHeldKeepsItsTasks() {
    Scenario scenario = Scenario.underLoad(71);
    World world = scenario.world;
    world.workers.values().forEach(worker -> worker.minRunMillis = 120_000);
    for (String name : List.of("zone0-0", "zone0-1", "zone0-2")) {
      scenario.callers.submit(world.entry(name), 6);
    }
    world.time.runFor(5_000);
    world.entry("zone0-0").kill();
    world.time.runFor(15_000);
    world.workers.values().forEach(worker -> worker.listed = false);
    world.time.runFor(90_000);
    world.workers.values().forEach(worker -> worker.listed = true);
    world.await(() -> world.openShards().isEmpty(), 400_000);

    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void deadWorkerIsNotFloodedWithLeaseCalls() {
    Scenario scenario = Scenario.underLoad(72);
    World world = scenario.world;
    WorkerNode worker = world.worker("worker0-0");
    worker.kill();
    int before = worker.calls;
    world.time.runFor(10_000);

    int calls = worker.calls - before;
    assertTrue(calls <= 10 * MAX_CALLS_PER_SECOND, calls + " calls in 10 s");
    assertEquals(List.of(), scenario.finish());
  }
}
