package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests jobs of a cell through random faults in series and at once. */
class CellFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 4;
  private static final int STEPS = 25;
  private static final long MAX_PAUSE_MILLIS = 2_500;
  private static final long RECOVERY_MILLIS = 45_000;
  private static final long LONG_LEASE_MILLIS = 10_000;

  @Property(tries = 60, seed = "20261204")
  void noTaskRunsTwiceAndEveryJobEnds(@ForAll long seed) {
    play(seed, CellWorld.LEASE_MILLIS);
  }

  /** The same where a lease outlasts the time for which a holder continues without the store. */
  @Property(tries = 60, seed = "20261205")
  void longLeasesHoldThroughFaults(@ForAll long seed) {
    play(seed, LONG_LEASE_MILLIS);
  }

  private static void play(long seed, long leaseMillis) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS, leaseMillis);
    StartWatchdog watchdog = new StartWatchdog(world, leaseMillis);
    SplittableRandom random = new SplittableRandom(seed);
    world.workers.failureProbability = 0.05;
    world.workers.runMillis = 200L + random.nextInt(4_000);
    world.time.runFor(2_000);
    for (int i = 0; i < STEPS; i++) {
      world.submit(random.nextInt(NODES), "j" + i, steps(random));
      disturb(world, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
    }
    heal(world);
    world.time.runFor(RECOVERY_MILLIS);
    assertEquals(List.of(), world.workers.violations, () -> tail(world));
    assertEquals(List.of(), watchdog.violations, () -> tail(world));
    assertEquals(List.of(), world.unfinished(), () -> tail(world));
    assertEquals(List.of(), world.workers.violations, () -> tail(world));
  }

  private static Step[] steps(SplittableRandom random) {
    int first = 1 + random.nextInt(4);
    if (random.nextInt(4) == 0) {
      boolean gang = random.nextBoolean();
      Step constrained = CellWorld.constrainedStep(first, gang, gang ? 0 : 1);
      return new Step[] {constrained, CellWorld.step(2, 0)};
    }
    return random.nextBoolean()
        ? new Step[] {CellWorld.step(first)}
        : new Step[] {CellWorld.step(first), CellWorld.step(1 + random.nextInt(3), 0)};
  }

  private static void disturb(CellWorld world, SplittableRandom random) {
    CellWorld.Node node = world.nodes.get(random.nextInt(NODES));
    String worker = "w" + random.nextInt(WORKERS);
    switch (random.nextInt(12)) {
      case 0 -> node.kill();
      case 1 -> node.suspend(500 + random.nextLong(8_000));
      case 2 -> node.storeView.disconnected = !node.storeView.disconnected;
      case 3 -> node.workerView.disconnected = !node.workerView.disconnected;
      case 4 -> world.workers.get(worker).disconnected = !world.workers.get(worker).disconnected;
      case 5 -> world.workers.get(worker).restart();
      case 6 -> world.store.remove("workers", worker);
      case 7 -> world.store.unresponsive = !world.store.unresponsive;
      case 8 -> {
        world.store.lossProbability = 0.3;
        world.store.maxDelayMillis = 6_000;
      }
      case 9 -> world.workers.lateOrderProbability = 0.1;
      case 10 -> world.store.forgetHistory();
      default -> heal(world);
    }
  }

  private static void heal(CellWorld world) {
    world.store.unresponsive = false;
    world.store.lossProbability = 0;
    world.workers.lateOrderProbability = 0;
    for (CellWorld.Node node : world.nodes) {
      if (node.process == null) {
        node.start();
      }
      node.storeView.disconnected = false;
      node.workerView.disconnected = false;
    }
    for (int i = 0; i < WORKERS; i++) {
      world.workers.get("w" + i).disconnected = false;
      world.registerWorker("w" + i);
    }
  }

  private static String tail(CellWorld world) {
    int size = world.log.size();
    return String.join("\n", world.log.subList(Math.max(0, size - 3000), size));
  }
}
