package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that a leaving worker gets no new work, although the instance list lags behind. */
class LeavingWorkerTest {
  /** Covers the lag of the instance list, its interval and a tick. */
  private static final long BOUND_MILLIS = 5_000;

  @Test
  void leavingWorkerGetsNoNewRequestsAfterTheBound() {
    Scenario scenario = Scenario.underLoad(31);
    World world = scenario.world;
    WorkerNode worker = world.worker("worker0-1");
    worker.leavingSince = world.time.millis();
    world.time.runFor(BOUND_MILLIS);
    int offersBefore = worker.offers;

    world.time.runFor(20_000);

    assertEquals(offersBefore, worker.offers);
    assertEquals(List.of(), scenario.finish());
  }
}
