package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.cell.CellFaults.Kind;
import org.hemlockpick.cell.CellFaults.Target;

/** Plays random faults while many runs are stragglers of steps that allow copies. */
class CopyFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 24;
  private static final int STEPS = 20;
  private static final long MAX_PAUSE_MILLIS = 2_500;
  private static final long RECOVERY_MILLIS = 60_000;
  private static final int TAIL_PERCENT = 20;
  private static final int TAIL_FACTOR = 7;

  private static final List<Kind> KINDS =
      List.of(
          Kind.KILL,
          Kind.SUSPEND,
          Kind.SWITCH_WORKER_LINKS,
          Kind.SWITCH_WORKER,
          Kind.RESTART_WORKER,
          Kind.DELAY_ORDERS_SELDOM,
          Kind.HEAL);

  /** Guards against a third run, a run without copies twice, and jobs that wait for a lost copy. */
  @Property(tries = 40, seed = "20261206")
  void noTaskRunsTooOftenAndEveryJobEnds(@ForAll long seed) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS);
    SplittableRandom random = new SplittableRandom(seed);
    CellFaults faults = new CellFaults(world, random, WORKERS);
    SplittableRandom times = random.split();
    world.workers.runTimes =
        (run, worker) ->
            (300 + times.nextInt(700)) * (times.nextInt(100) < TAIL_PERCENT ? TAIL_FACTOR : 1L);
    world.workers.failureProbability = 0.05;
    world.time.runFor(3_000);
    for (int i = 0; i < STEPS; i++) {
      int count = 1 + random.nextInt(8);
      Step first = CopyTest.step(count, random.nextInt(4) > 0);
      world.submit(random.nextInt(NODES), "j" + i, first, CopyTest.step(2, true, 0));
      if (random.nextInt(3) == 0) {
        Kind kind = KINDS.get(random.nextInt(KINDS.size()));
        CellWorld.Node node = world.nodes.get(random.nextInt(NODES));
        String worker = "w" + random.nextInt(WORKERS);
        faults.strike(kind, new Target(node, worker, () -> 500 + random.nextLong(6_000), () -> 0));
      }
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
    }
    faults.heal();
    world.time.runFor(RECOVERY_MILLIS);
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.unfinished(), () -> String.join("\n", world.log));
    assertTrue(world.log.stream().anyMatch(line -> line.contains(" copy ")));
  }
}
