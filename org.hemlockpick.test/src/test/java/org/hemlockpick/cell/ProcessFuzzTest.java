package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests jobs of a cell whose processes are paused, overlap and send late, in series that overlap.
 */
class ProcessFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 4;
  private static final int STEPS = 20;
  private static final long MAX_PAUSE_MILLIS = 2_000;
  private static final long MAX_FAULT_MILLIS = 9_000;
  private static final long RECOVERY_MILLIS = 40_000;
  private static final long LONG_LEASE_MILLIS = 10_000;

  /** Time after which the clocks of the workers are beyond the length of a lease. */
  private static final long SETTLE_MILLIS = 6_000;

  @Property(tries = 60, seed = "20261204")
  void noTaskRunsTwiceAndEveryJobEndsThroughProcessFaults(@ForAll long seed) {
    play(seed, CellWorld.LEASE_MILLIS, SETTLE_MILLIS);
  }

  /** The same where a lease outlasts the time for which a holder continues without the store. */
  @Property(tries = 60, seed = "20261205")
  void longLeasesHoldThroughProcessFaults(@ForAll long seed) {
    play(seed, LONG_LEASE_MILLIS, LONG_LEASE_MILLIS + SETTLE_MILLIS);
  }

  private static void play(long seed, long leaseMillis, long settleMillis) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS, leaseMillis);
    StartWatchdog watchdog = new StartWatchdog(world, leaseMillis);
    SplittableRandom random = new SplittableRandom(seed);
    world.workers.failureProbability = 0.02;
    world.workers.runMillis = 100L + random.nextInt(6_000);
    world.time.runFor(settleMillis);
    for (int i = 0; i < STEPS; i++) {
      world.submit(random.nextInt(NODES), "j" + i, steps(random));
      world.time.runFor(random.nextLong(30));
      disturb(world, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
      disturb(world, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
    }
    world.time.runFor(MAX_FAULT_MILLIS);
    heal(world);
    world.time.runFor(RECOVERY_MILLIS);
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), watchdog.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.unfinished(), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }

  private static Step[] steps(SplittableRandom random) {
    int first = 1 + random.nextInt(4);
    return random.nextBoolean()
        ? new Step[] {CellWorld.step(first)}
        : new Step[] {CellWorld.step(first), CellWorld.step(1 + random.nextInt(3), 0)};
  }

  private static void disturb(CellWorld world, SplittableRandom random) {
    CellWorld.Node node = node(world, random);
    CellWorld.Incarnation incarnation = node.incarnation();
    String worker = "w" + random.nextInt(WORKERS);
    long millis = 200 + random.nextLong(MAX_FAULT_MILLIS - 200);
    long brief = random.nextLong(2_200);
    switch (random.nextInt(11)) {
      case 0 -> incarnation.pause(brief);
      case 1 -> incarnation.pause(millis);
      case 2 -> incarnation.pauseBeforeSending(millis / 2);
      case 3 -> node.suspend(millis);
      case 4 -> startAlongside(world, node, millis, random.nextBoolean());
      case 5 -> stopAsPlanned(world, node, brief);
      case 6 -> restart(world, worker, 750 + brief, random.nextBoolean());
      case 7 -> {
        incarnation.workerView.unreachable.add(worker);
        world.time.after(millis, () -> incarnation.workerView.unreachable.remove(worker));
      }
      case 8 -> {
        incarnation.workerView.hold();
        world.time.after(brief / 3, incarnation.workerView::release);
      }
      case 9 -> {
        incarnation.storeView.disconnected = true;
        world.time.after(millis, () -> incarnation.storeView.disconnected = false);
      }
      default -> {
        world.store.remove("workers", worker);
        world.time.after(brief, () -> world.registerWorker(worker));
      }
    }
  }

  /** Returns the holder in two of three cases, else a random node. */
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

  /**
   * Starts a process while the old one runs on for a while, as one that was told to stop or was
   * forgotten.
   */
  private static void startAlongside(
      CellWorld world, CellWorld.Node node, long millis, boolean planned) {
    CellWorld.Incarnation previous = node.startAlongside();
    if (planned) {
      previous.cell.beginStop();
    }
    world.time.after(millis, previous::kill);
  }

  /**
   * Stops a process as planned; the replies to what it stores at the end are lost, and it restarts
   * later.
   */
  private static void stopAsPlanned(CellWorld world, CellWorld.Node node, long millis) {
    CellWorld.Incarnation incarnation = node.incarnation();
    incarnation.storeView.repliesLost = true;
    incarnation.cell.beginStop();
    world.time.after(
        1_000 + millis,
        () -> {
          incarnation.kill();
          if (node.incarnation() == incarnation) {
            node.start();
          }
        });
  }

  private static void restart(CellWorld world, String worker, long millis, boolean listed) {
    world.workers.get(worker).restart(millis);
    if (listed) {
      world.registerWorker(worker);
    } else {
      world.time.after(millis + 500, () -> world.registerWorker(worker));
    }
  }

  private static void heal(CellWorld world) {
    for (CellWorld.Node node : world.nodes) {
      CellWorld.Incarnation incarnation = node.incarnation();
      if (incarnation.cell.isStopping()) {
        incarnation.kill();
        node.start();
      }
      incarnation.storeView.disconnected = false;
      incarnation.workerView.unreachable.clear();
    }
    for (int i = 0; i < WORKERS; i++) {
      world.registerWorker("w" + i);
    }
  }
}
