package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that batch jobs complete, each task once, despite process deaths and store outages. */
class BatchWorldTest {
  private static final long URGENT_START_BOUND_MILLIS = 1_100;
  private static final long FINISH_LIMIT_MILLIS = 300_000;

  @Test
  void urgentTaskStartsWithinTheBound() {
    Scenario scenario = Scenario.underLoad(51);
    World world = scenario.world;
    scenario.callers.submitUrgent(world.entry("zone0-0"), 1);

    long took = world.await(() -> world.oracle.taskStarts == 1, 60_000);

    assertTrue(took <= URGENT_START_BOUND_MILLIS, "started after " + took + " ms");
    assertEquals(List.of(), finishJobs(scenario));
  }

  @Test
  void jobsFinishAlthoughTheirHolderDies() {
    Scenario scenario = Scenario.underLoad(52);
    World world = scenario.world;
    scenario.callers.submit(world.entry("zone0-0"), 40);
    world.time.runFor(2_500);
    world.entry("zone0-0").kill();
    world.entry("zone0-1").kill();

    assertEquals(List.of(), finishJobs(scenario));
  }

  @Test
  void jobsFinishAlthoughWorkersDieAndAreReplaced() {
    Scenario scenario = Scenario.underLoad(53);
    World world = scenario.world;
    scenario.callers.submit(world.entry("zone1-0"), 40);
    world.time.runFor(2_500);
    world.worker("worker1-0").kill();
    world.worker("worker1-0").listed = false;
    world.worker("worker1-1").restart();

    assertEquals(List.of(), finishJobs(scenario));
  }

  @Test
  void assignedTasksContinueWhileTheStoreIsDownAndTheirOwnerDies() {
    Scenario scenario = Scenario.underLoad(54);
    World world = scenario.world;
    scenario.callers.submit(world.entry("zone0-2"), 40);
    world.time.runFor(1_500);
    world.conditions.storeDown = true;
    int startsBefore = world.oracle.taskStarts;
    world.time.runFor(3_000);
    world.entry(world.holders("worker0-0").get(0)).kill();
    scenario.callers.stopLoad();
    world.time.runFor(3_600_000);
    world.conditions.storeDown = false;

    assertTrue(world.oracle.taskStarts >= startsBefore);
    assertEquals(List.of(), finishJobs(scenario));
  }

  private static List<String> finishJobs(Scenario scenario) {
    scenario.world.await(() -> scenario.world.openShards().isEmpty(), FINISH_LIMIT_MILLIS);
    return scenario.finish();
  }
}
