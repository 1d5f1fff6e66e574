package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.cell.CellFaults.Kind;
import org.hemlockpick.cell.CellFaults.Target;

/** Tests jobs of a cell through random faults in series and at once. */
class CellFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 4;
  private static final int STEPS = 25;
  private static final long MAX_PAUSE_MILLIS = 2_500;
  private static final long RECOVERY_MILLIS = 45_000;
  private static final long LONG_LEASE_MILLIS = 10_000;

  /** Each draw takes one of these; their order belongs to the seeds. */
  private static final List<Kind> KINDS =
      List.of(
          Kind.KILL,
          Kind.SUSPEND,
          Kind.SWITCH_STORE_LINK,
          Kind.SWITCH_WORKER_LINKS,
          Kind.SWITCH_WORKER,
          Kind.RESTART_WORKER,
          Kind.REMOVE_ENTRY,
          Kind.SWITCH_STORE,
          Kind.LOSE_WRITES,
          Kind.DELAY_ORDERS_SELDOM,
          Kind.FORGET_HISTORY,
          Kind.HEAL);

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
    CellFaults faults = new CellFaults(world, random, WORKERS);
    world.workers.failureProbability = 0.05;
    world.workers.runMillis = 200L + random.nextInt(4_000);
    world.time.runFor(2_000);
    for (int i = 0; i < STEPS; i++) {
      world.submit(random.nextInt(NODES), "j" + i, steps(random));
      disturb(world, faults, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
    }
    faults.heal();
    world.time.runFor(RECOVERY_MILLIS);
    assertEquals(List.of(), world.workers.violations, () -> tail(world));
    assertTrue(watchdog.checks() > 50, () -> watchdog.checks() + " checks");
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

  private static void disturb(CellWorld world, CellFaults faults, SplittableRandom random) {
    CellWorld.Node node = world.nodes.get(random.nextInt(NODES));
    String worker = "w" + random.nextInt(WORKERS);
    Kind kind = KINDS.get(random.nextInt(KINDS.size()));
    faults.strike(kind, new Target(node, worker, () -> 500 + random.nextLong(8_000), () -> 0));
  }

  private static String tail(CellWorld world) {
    int size = world.log.size();
    return String.join("\n", world.log.subList(Math.max(0, size - 3000), size));
  }
}
