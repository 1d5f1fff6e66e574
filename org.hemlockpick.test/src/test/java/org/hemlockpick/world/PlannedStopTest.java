package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks that a planned stop answers all requests in flight and hands its workers over. */
class PlannedStopTest {
  private static final long STOP_BOUND_MILLIS = 30_000;

  /** Maximum time that a worker may be without a holder during a handover. */
  private static final long HANDOVER_BOUND_MILLIS = 250;

  @Test
  void stopAnswersEverythingInFlightAndHandsWorkersOver() {
    Scenario scenario = Scenario.underLoad(11);
    World world = scenario.world;
    EntryNode leaver = world.entry("zone0-0");
    scenario.callers.sendBurst(40);
    world.time.runFor(30);
    leaver.stop();

    long took = world.await(leaver::isStopped, 60_000);

    assertTrue(took <= STOP_BOUND_MILLIS, "the stop took " + took + " ms");
    assertEquals(Set.of(), unansweredAt(world, leaver));
    long gap = world.await(() -> allHeld(world), 60_000);
    assertTrue(gap <= HANDOVER_BOUND_MILLIS, "workers were without a holder for " + gap + " ms");
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void stopWhileTheStoreIsDownStillAnswersEverything() {
    Scenario scenario = Scenario.underLoad(12);
    World world = scenario.world;
    EntryNode leaver = world.entry("zone1-1");
    world.conditions.storeDown = true;
    world.time.runFor(5_000);
    leaver.stop();

    long took = world.await(leaver::isStopped, 60_000);

    assertTrue(took <= STOP_BOUND_MILLIS, "the stop took " + took + " ms");
    assertEquals(Set.of(), unansweredAt(world, leaver));
    assertEquals(List.of(), scenario.finish());
  }

  private static boolean allHeld(World world) {
    return world.workers.keySet().stream().allMatch(w -> world.holders(w).size() == 1);
  }

  private static Set<Long> unansweredAt(World world, EntryNode node) {
    return world.oracle.exchanges().stream()
        .filter(exchange -> exchange.node.equals(node.name) && exchange.answers == 0)
        .map(exchange -> exchange.id)
        .collect(Collectors.toSet());
  }
}
