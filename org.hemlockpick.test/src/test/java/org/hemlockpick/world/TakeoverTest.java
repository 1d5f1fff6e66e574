package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the takeover of workers between entry instances, with and without the table service. */
class TakeoverTest {
  /** Sum of the timeout of the peer's heartbeats and of its lease, although the two overlap. */
  private static final long TAKEOVER_BOUND_MILLIS = 8_000;

  private static final String WORKER = "worker0-0";

  @Test
  void everyWorkerHasExactlyOneHolderAfterTheStart() {
    Scenario scenario = Scenario.underLoad(1);

    for (String worker : scenario.world.workers.keySet()) {
      assertEquals(1, scenario.world.holders(worker).size(), worker);
    }
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void workersOfDeadEntryInstanceAreTakenOver() {
    Scenario scenario = Scenario.underLoad(2);
    World world = scenario.world;
    world.entry(holder(world)).kill();

    long took = world.await(() -> world.holders(WORKER).size() == 1, 60_000);

    assertTrue(took <= TAKEOVER_BOUND_MILLIS, "the takeover took " + took + " ms");
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void workersAreTakenOverWhileTheStoreIsDown() {
    Scenario scenario = Scenario.underLoad(3);
    World world = scenario.world;
    world.conditions.storeDown = true;
    world.time.runFor(60_000);
    world.entry(holder(world)).kill();

    long took = world.await(() -> world.holders(WORKER).size() == 1, 60_000);

    assertTrue(took <= TAKEOVER_BOUND_MILLIS, "the takeover took " + took + " ms");
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void zoneCutOffFromEverythingKeepsItsWorkersAndServes() {
    Scenario scenario = Scenario.underLoad(4);
    World world = scenario.world;
    world.conditions.cutZones.add("zone0");
    world.time.runFor(10_000);
    int doneBefore = world.oracle.done;
    world.entry(holder(world)).kill();

    long took = world.await(() -> world.holders(WORKER).size() == 1, 60_000);
    world.time.runFor(10_000);

    assertTrue(took <= TAKEOVER_BOUND_MILLIS, "the takeover took " + took + " ms");
    assertTrue(world.oracle.done > doneBefore, "idempotent requests go on");
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void pausedHolderDoesNotUseItsExpiredLease() {
    Scenario scenario = Scenario.underLoad(5);
    World world = scenario.world;
    EntryNode previous = world.entry(holder(world));
    previous.paused = true;
    world.time.runFor(30_000);
    assertEquals(1, world.holders(WORKER).stream().filter(n -> !n.equals(previous.name)).count());

    previous.paused = false;
    world.time.runFor(15_000);

    assertEquals(1, world.holders(WORKER).size());
    assertEquals(List.of(), scenario.finish());
  }

  private static String holder(World world) {
    return world.holders(WORKER).get(0);
  }
}
