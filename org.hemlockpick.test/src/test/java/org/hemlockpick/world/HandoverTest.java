package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.Test;

/** Checks that requests find a worker that changes hands. */
class HandoverTest {
  private static final int SEEDS = 40;
  private static final long LIMIT_MILLIS = 30_000;
  private static final long ANSWER_MILLIS = 3_000;
  private static final List<Integer> REFUSALS =
      List.of(ResultCode.OVERLOADED.number(), ResultCode.NO_WORKER.number());

  /**
   * Guards against a request that is refused, as its entry instance has just released the worker
   * and learns only with a later heartbeat that the new holder has slots.
   */
  @Test
  void requestThatArrivesAfterAReleaseFindsTheNewHolder() {
    List<Integer> refusals = new ArrayList<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      int code = codeOfARequestAfterARelease(seed);
      if (REFUSALS.contains(code)) {
        refusals.add(code);
      }
    }
    assertEquals(List.of(), refusals);
  }

  private static int codeOfARequestAfterARelease(long seed) {
    Scenario scenario = new Scenario(seed, 1, 2, 1);
    World world = scenario.world;
    scenario.startWithContracts();
    String worker = world.workers.keySet().iterator().next();
    List<EntryNode> nodes = List.copyOf(world.entries.values());
    EntryNode preferred = nodes.get(0).holds(worker) ? nodes.get(0) : nodes.get(1);
    EntryNode other = nodes.get(0) == preferred ? nodes.get(1) : nodes.get(0);
    preferred.kill();
    assertTrue(world.await(() -> other.holds(worker), LIMIT_MILLIS) < LIMIT_MILLIS);
    preferred.restart();
    assertTrue(world.await(() -> !other.holds(worker), LIMIT_MILLIS) < LIMIT_MILLIS);
    long exchange = scenario.callers.sendTo(other);
    world.time.runFor(ANSWER_MILLIS);
    assertEquals(List.of(), scenario.finish());
    Oracle.Exchange ended = world.oracle.exchange(exchange);
    return ended == null ? -1 : ended.code;
  }
}
