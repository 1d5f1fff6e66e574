package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Jobs of a cell whose processes stand still, overlap and send late, in series that overlap. */
class ProcessFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 4;
  private static final int STEPS = 20;
  private static final long LONGEST_PAUSE = 2_000;
  private static final long LONGEST_FAULT = 9_000;
  private static final long HEALING = 40_000;

  /** Time after which the clocks of the workers are beyond the length of a lease. */
  private static final long SETTLED = 6_000;

  @Property(tries = 60, seed = "20261204")
  void noTaskRunsTwiceAndEveryJobEndsThroughFaultsOfProcesses(@ForAll long seed) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS);
    SplittableRandom random = new SplittableRandom(seed);
    world.workers.failing = 0.02;
    world.workers.runMillis = 100L + random.nextInt(6_000);
    world.time.runFor(SETTLED);
    for (int i = 0; i < STEPS; i++) {
      world.submit(random.nextInt(NODES), "j" + i, steps(random));
      world.time.runFor(random.nextLong(30));
      disturb(world, random);
      world.time.runFor(random.nextLong(LONGEST_PAUSE));
      disturb(world, random);
      world.time.runFor(random.nextLong(LONGEST_PAUSE));
    }
    world.time.runFor(LONGEST_FAULT);
    heal(world);
    world.time.runFor(HEALING);
    assertEquals(List.of(), world.workers.breaches, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.unfinished(), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.breaches, () -> String.join("\n", world.log));
  }

  private static Step[] steps(SplittableRandom random) {
    int first = 1 + random.nextInt(4);
    return random.nextBoolean()
        ? new Step[] {CellWorld.step(first)}
        : new Step[] {CellWorld.step(first), CellWorld.step(1 + random.nextInt(3), 0)};
  }

  private static void disturb(CellWorld world, SplittableRandom random) {
    CellWorld.Node node = node(world, random);
    CellWorld.Life life = node.life();
    String worker = "w" + random.nextInt(WORKERS);
    long millis = 200 + random.nextLong(LONGEST_FAULT - 200);
    long brief = random.nextLong(2_200);
    switch (random.nextInt(11)) {
      case 0 -> life.stop(brief);
      case 1 -> life.stop(millis);
      case 2 -> life.stopBeforeSending(millis / 2);
      case 3 -> node.freeze(millis);
      case 4 -> startBeside(world, node, millis, random.nextBoolean());
      case 5 -> stopAsPlanned(world, node, brief);
      case 6 -> restart(world, worker, 750 + brief, random.nextBoolean());
      case 7 -> {
        life.workerView.unreached.add(worker);
        world.time.after(millis, () -> life.workerView.unreached.remove(worker));
      }
      case 8 -> {
        life.workerView.hold();
        world.time.after(brief / 3, life.workerView::release);
      }
      case 9 -> {
        life.storeView.cut = true;
        world.time.after(millis, () -> life.storeView.cut = false);
      }
      default -> {
        world.store.remove("workers", worker);
        world.time.after(brief, () -> world.list(worker));
      }
    }
  }

  /** Takes the holder two times of three. */
  private static CellWorld.Node node(CellWorld world, SplittableRandom random) {
    CellWorld.Node any = world.nodes.get(random.nextInt(NODES));
    if (random.nextInt(3) == 0) {
      return any;
    }
    return world.nodes.stream()
        .filter(node -> node.process != null && node.process.isHolder())
        .findFirst()
        .orElse(any);
  }

  /** The old process lives on for a while, as one that was told to end or was forgotten. */
  private static void startBeside(
      CellWorld world, CellWorld.Node node, long millis, boolean planned) {
    CellWorld.Life former = node.startBeside();
    if (planned) {
      former.cell.beginStop();
    }
    world.time.after(millis, former::kill);
  }

  /** The answers to what it stores at the end are lost, and it starts anew a while later. */
  private static void stopAsPlanned(CellWorld world, CellWorld.Node node, long millis) {
    CellWorld.Life life = node.life();
    life.storeView.answersLost = true;
    life.cell.beginStop();
    world.time.after(
        1_000 + millis,
        () -> {
          life.kill();
          if (node.life() == life) {
            node.start();
          }
        });
  }

  private static void restart(CellWorld world, String worker, long millis, boolean listed) {
    world.workers.get(worker).restart(millis);
    if (listed) {
      world.list(worker);
    } else {
      world.time.after(millis + 500, () -> world.list(worker));
    }
  }

  private static void heal(CellWorld world) {
    for (CellWorld.Node node : world.nodes) {
      CellWorld.Life life = node.life();
      if (life.cell.isStopping()) {
        life.kill();
        node.start();
      }
      life.storeView.cut = false;
      life.workerView.unreached.clear();
    }
    for (int i = 0; i < WORKERS; i++) {
      world.list("w" + i);
    }
  }
}
