package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.proto.Output;
import org.junit.jupiter.api.Test;

/** Checks that recorded inputs replay to the same outputs, byte for byte. */
class ReplayTest {

  @Test
  void recordedFaultsReplayToTheSameOutputs() {
    Scenario scenario = Scenario.underLoad(81);
    World world = scenario.world;
    Recording recording = world.entry("zone0-0").restartRecorded();
    world.time.runFor(5_000);
    scenario.callers.submit(world.entry("zone0-0"), 20);
    world.conditions.lossyWorkers = true;
    world.conditions.storeLosesAnswers = true;
    world.time.runFor(10_000);
    world.conditions.heal();
    world.worker("worker0-0").restart();
    world.time.runFor(10_000);

    assertSameOutputs(recording);
    assertTrue(answers(recording) > 0);
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void plannedStopReplaysToItsStatedOutcome() {
    Scenario scenario = Scenario.underLoad(82);
    World world = scenario.world;
    EntryNode node = world.entry("zone1-1");
    Recording recording = node.restartRecorded();
    world.time.runFor(8_000);
    node.stop();
    world.await(node::isStopped, 30_000);

    List<Output> replayed = recording.replay();

    assertEquals(recording.outputs(), replayed);
    assertEquals(1, replayed.stream().filter(Output::hasStopped).count());
    assertEquals(List.of(), scenario.finish());
  }

  private static void assertSameOutputs(Recording recording) {
    List<Output> outputs = recording.outputs();
    List<Output> replayed = recording.replay();
    for (int i = 0; i < Math.min(outputs.size(), replayed.size()); i++) {
      assertEquals(outputs.get(i), replayed.get(i), "output " + i);
    }
    assertEquals(outputs.size(), replayed.size());
  }

  private static long answers(Recording recording) {
    return recording.outputs().stream().filter(Output::hasCallerAnswer).count();
  }
}
