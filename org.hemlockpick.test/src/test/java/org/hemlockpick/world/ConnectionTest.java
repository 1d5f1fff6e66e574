package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that a connection to a worker on which nothing arrives any more is replaced. */
class ConnectionTest {
  /** Maximum time to replace a silent connection: a renewal, its timeout, a reset. */
  private static final long REPLACEMENT_BOUND_MILLIS = 4_000;

  @Test
  void silentConnectionIsReplacedAndNoRequestRunsTwice() {
    Scenario scenario = Scenario.underLoad(21);
    World world = scenario.world;
    WorkerNode worker = world.worker("worker0-0");
    String holder = world.holders(worker.name).get(0);
    worker.silentFor.addAll(world.entries.keySet());

    long took = world.await(() -> !worker.silentFor.contains(holder), 60_000);

    assertTrue(took <= REPLACEMENT_BOUND_MILLIS, "the replacement took " + took + " ms");
    assertEquals(List.of(holder), world.holders(worker.name));
    assertEquals(List.of(), scenario.finish());
  }
}
