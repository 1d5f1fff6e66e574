package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.cell.CellFaults.Kind;
import org.hemlockpick.cell.CellFaults.Target;

/** Tests that what can run is started soon, in calm times after random faults. */
class StartFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 5;
  private static final int FAULTS = 8;
  private static final long MAX_PAUSE_MILLIS = 2_000;

  /** Time after the faults for which jobs are submitted, in milliseconds. */
  private static final long CALM_MILLIS = 55_000;

  private static final long MAX_INTERVAL_MILLIS = 2_500;
  private static final long LONG_MILLIS = 600_000;

  /** Time within which draining workers leave and crashed ones are back, in milliseconds. */
  private static final long LAST_FAULTS_MILLIS = 4_000;

  /** Each draw takes one of these; their order belongs to the seeds. */
  private static final List<Kind> KINDS =
      List.of(
          Kind.KILL,
          Kind.SUSPEND,
          Kind.CUT_STORE,
          Kind.CUT_WORKER,
          Kind.LOSE_ANSWERS,
          Kind.RESTART_WORKER,
          Kind.LOSE_STARTS,
          Kind.LEAVE_STOPS_UNANSWERED,
          Kind.DELAY_ORDERS,
          Kind.DRAIN,
          Kind.CRASH,
          Kind.SWITCH_STORE);

  private int jobs;

  /** Whether new jobs may have a task that crashes its workers. */
  private boolean mayCrash = true;

  @Property(tries = 25, seed = "20261206")
  void whatCanRunIsStarted(@ForAll long seed) {
    new StartFuzzTest().play(seed, CellWorld.LEASE_MILLIS);
  }

  /** The same where a lease is longest. */
  @Property(tries = 25, seed = "20261207")
  void whatCanRunIsStartedWhereLeasesAreLong(@ForAll long seed) {
    new StartFuzzTest().play(seed, 10_000);
  }

  void play(long seed, long leaseMillis) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS, leaseMillis);
    SplittableRandom random = new SplittableRandom(seed);
    CellFaults faults = new CellFaults(world, random, WORKERS);
    StartWatchdog watchdog = new StartWatchdog(world, leaseMillis);
    world.workers.failureProbability = random.nextInt(3) * 0.15;
    world.workers.runMillis = 200L + random.nextInt(3_000);
    world.workers.maxCompletions = random.nextInt(4) == 0 ? 2 : 500;
    world.workers.returnsUnderOtherIdentifier = false;
    world.time.runFor(3_000);
    submitLasting(world, random);
    for (int i = 0; i < FAULTS; i++) {
      submit(world, random);
      disturb(world, faults, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
    }
    mayCrash = false;
    world.time.runFor(LAST_FAULTS_MILLIS);
    faults.heal();
    runCalmly(world, random);
    if (random.nextBoolean()) {
      world.nodes.forEach(CellWorld.Node::killAll);
      world.time.runFor(random.nextLong(1_000));
      world.nodes.forEach(CellWorld.Node::start);
      runCalmly(world, random);
    }
    assertTrue(watchdog.checks() > 100, () -> watchdog.checks() + " checks");
    assertEquals(List.of(), watchdog.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }

  private void runCalmly(CellWorld world, SplittableRandom random) {
    long until = world.time.millis() + CALM_MILLIS;
    while (world.time.millis() < until) {
      submit(world, random);
      world.time.runFor(1 + random.nextLong(MAX_INTERVAL_MILLIS));
    }
  }

  private void submitLasting(CellWorld world, SplittableRandom random) {
    String id = "l" + ++jobs;
    world.workers.runMillisByJob.put(id, LONG_MILLIS);
    int count = 1 + random.nextInt(WORKERS);
    world.submit(0, id, CellWorld.step(count, false, null, 0, true, List.of()));
  }

  private void submit(CellWorld world, SplittableRandom random) {
    String id = "j" + ++jobs;
    int count = 1 + random.nextInt(3);
    Step first =
        switch (random.nextInt(5)) {
          case 0 -> CellWorld.constrainedStep(count, true, 0);
          case 1 -> CellWorld.constrainedStep(count, false, 1);
          default -> CellWorld.step(count);
        };
    if (mayCrash && random.nextInt(6) == 0) {
      world.workers.crashAfterMillis.put(new TaskId(id, 0, 0, 0), 10 + random.nextLong(1_000));
    }
    int node = random.nextInt(NODES);
    if (random.nextBoolean()) {
      world.submit(node, id, first, CellWorld.step(1 + random.nextInt(3), 0));
    } else {
      world.submit(node, id, first);
    }
  }

  private static void disturb(CellWorld world, CellFaults faults, SplittableRandom random) {
    CellWorld.Node node = world.nodes.get(random.nextInt(NODES));
    String worker = "w" + random.nextInt(WORKERS);
    Kind kind = KINDS.get(random.nextInt(KINDS.size()));
    faults.strike(kind, new Target(node, worker, () -> 500 + random.nextLong(8_000), () -> 0));
  }
}
