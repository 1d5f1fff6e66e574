package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.cell.CellFaults.Kind;
import org.hemlockpick.cell.CellFaults.Target;

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

  /** Each draw takes one of these; their order belongs to the seeds. */
  private static final List<Kind> KINDS =
      List.of(
          Kind.PAUSE_BRIEFLY,
          Kind.PAUSE,
          Kind.PAUSE_BEFORE_SENDING,
          Kind.SUSPEND,
          Kind.START_ALONGSIDE,
          Kind.STOP_AS_PLANNED,
          Kind.RESTART_WORKER_AT_TIMES,
          Kind.CUT_WORKER_FOR_A_WHILE,
          Kind.HOLD_ORDERS,
          Kind.CUT_STORE_FOR_A_WHILE,
          Kind.HIDE_ENTRY);

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
    CellFaults faults = new CellFaults(world, random, WORKERS);
    world.workers.failureProbability = 0.02;
    world.workers.runMillis = 100L + random.nextInt(6_000);
    world.time.runFor(settleMillis);
    for (int i = 0; i < STEPS; i++) {
      world.submit(random.nextInt(NODES), "j" + i, steps(random));
      world.time.runFor(random.nextLong(30));
      disturb(world, faults, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
      disturb(world, faults, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
    }
    world.time.runFor(MAX_FAULT_MILLIS);
    faults.heal();
    world.time.runFor(RECOVERY_MILLIS);
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
    assertTrue(watchdog.checks() > 50, () -> watchdog.checks() + " checks");
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

  private static void disturb(CellWorld world, CellFaults faults, SplittableRandom random) {
    CellWorld.Node node = node(world, random);
    String worker = "w" + random.nextInt(WORKERS);
    long millis = 200 + random.nextLong(MAX_FAULT_MILLIS - 200);
    long brief = random.nextLong(2_200);
    Kind kind = KINDS.get(random.nextInt(KINDS.size()));
    faults.strike(kind, new Target(node, worker, () -> millis, () -> brief));
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
}
