package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Jobs of a cell through random faults in series and at once. */
class CellFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 4;
  private static final int STEPS = 25;
  private static final long LONGEST_PAUSE = 2_500;
  private static final long HEALING = 45_000;

  @Property(tries = 60, seed = "20261204")
  void noTaskRunsTwiceAndEveryJobEnds(@ForAll long seed) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS);
    SplittableRandom random = new SplittableRandom(seed);
    world.workers.failing = 0.05;
    world.workers.runMillis = 200L + random.nextInt(4_000);
    world.time.runFor(2_000);
    for (int i = 0; i < STEPS; i++) {
      world.submit(random.nextInt(NODES), "j" + i, steps(random));
      disturb(world, random);
      world.time.runFor(random.nextLong(LONGEST_PAUSE));
    }
    heal(world);
    world.time.runFor(HEALING);
    assertEquals(List.of(), world.workers.breaches, () -> tail(world));
    assertEquals(List.of(), world.unfinished(), () -> tail(world));
    assertEquals(List.of(), world.workers.breaches, () -> tail(world));
  }

  private static Step[] steps(SplittableRandom random) {
    int first = 1 + random.nextInt(4);
    if (random.nextInt(4) == 0) {
      boolean gang = random.nextBoolean();
      Step bound = CellWorld.bound(first, gang, gang ? 0 : 1);
      return new Step[] {bound, CellWorld.step(2, 0)};
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
      case 1 -> node.freeze(500 + random.nextLong(8_000));
      case 2 -> node.storeView.cut = !node.storeView.cut;
      case 3 -> node.workerView.cut = !node.workerView.cut;
      case 4 -> world.workers.get(worker).cut = !world.workers.get(worker).cut;
      case 5 -> world.workers.get(worker).restart();
      case 6 -> world.store.remove("workers", worker);
      case 7 -> world.store.silent = !world.store.silent;
      case 8 -> {
        world.store.lost = 0.3;
        world.store.lateMillis = 6_000;
      }
      case 9 -> world.workers.late = 0.1;
      case 10 -> world.store.forgetHistory();
      default -> heal(world);
    }
  }

  private static void heal(CellWorld world) {
    world.store.silent = false;
    world.store.lost = 0;
    world.workers.late = 0;
    for (CellWorld.Node node : world.nodes) {
      if (node.process == null) {
        node.start();
      }
      node.storeView.cut = false;
      node.workerView.cut = false;
    }
    for (int i = 0; i < WORKERS; i++) {
      world.workers.get("w" + i).cut = false;
      world.list("w" + i);
    }
  }

  private static String tail(CellWorld world) {
    int size = world.log.size();
    return String.join("\n", world.log.subList(Math.max(0, size - 3000), size));
  }
}
