package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests that no task crashes worker after worker in a busy service where many tasks do so at the
 * same time, beside each other and beside sound ones, and the cell is taken from its holder every
 * few seconds.
 */
class CrashStormFuzzTest {
  private static final int NODES = 5;
  private static final int WORKERS = 20;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long SUBMIT_MILLIS = 25_000;
  private static final long CHANGES_MILLIS = 40_000;
  private static final long FINISH_MILLIS = 40_000;
  private static final int MAX_TASKS = 5;

  /** Crashed workers after which the starts of a task are counted, and starts that are too many. */
  private static final int COUNTED_WORKERS = 3;

  private static final int MAX_LATER_STARTS = 3;

  private final List<TaskId> guilty = new ArrayList<>();

  /**
   * What a play draws; times are in milliseconds.
   *
   * @param crashMillis time after its start at which a guilty task crashes its worker
   * @param intervalMillis time between two losses of the holder
   * @param awayMillis time for which a lost holder is away
   * @param guiltyOneIn one of so many jobs has a guilty task
   * @param kills whether half of the lost holders are killed; the others are paused
   */
  private record Terms(
      long crashMillis, long intervalMillis, long awayMillis, int guiltyOneIn, boolean kills) {
    static Terms draw(SplittableRandom random) {
      return new Terms(
          random.nextInt(40),
          2_000 + random.nextLong(4_500),
          500 + random.nextLong(6_000),
          2 + random.nextInt(8),
          random.nextBoolean());
    }
  }

  @Property(tries = 60, seed = "20261206")
  void noTaskCrashesWorkersWithoutEnd(@ForAll long seed) {
    new CrashStormFuzzTest().play(seed);
  }

  private void play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    CellWorld world = new CellWorld(seed, NODES, WORKERS, random.nextBoolean() ? 10_000 : 6_000);
    Terms terms = Terms.draw(random);
    slowDown(world, random);
    world.time.runFor(SETTLE_MILLIS);
    long begin = world.time.millis();
    long nextLossAt = begin + terms.intervalMillis();
    int jobs = 0;
    while (world.time.millis() < begin + CHANGES_MILLIS) {
      if (world.time.millis() < begin + SUBMIT_MILLIS) {
        submit(world, random, terms, "j" + ++jobs);
      }
      if (world.time.millis() >= nextLossAt) {
        nextLossAt += terms.intervalMillis();
        loseHolder(world, terms.awayMillis(), terms.kills() && random.nextBoolean());
      }
      world.time.runFor(100 + random.nextLong(400));
    }
    world.time.runFor(FINISH_MILLIS);
    assertEquals(List.of(), startedTooOften(world), () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }

  /** Draws how long tasks, crashed workers, calls and ticks take. */
  private static void slowDown(CellWorld world, SplittableRandom random) {
    world.workers.runMillis = 500 + random.nextLong(12_000);
    world.workers.crashReturnMillis = 1_000 + random.nextLong(5_000);
    world.workers.returnsUnderOtherIdentifier = random.nextInt(4) > 0;
    world.store.latencyMillis = FakeStore.LATENCY_MILLIS + random.nextLong(150);
    long tickMillis = CellWorld.TICK_MILLIS + random.nextLong(200);
    world.nodes.forEach(node -> node.incarnation().tickMillis = tickMillis);
    long replyMillis = random.nextLong(40);
    for (int i = 0; i < WORKERS; i++) {
      world.workers.get("w" + i).replyMillis = replyMillis;
    }
  }

  private void submit(CellWorld world, SplittableRandom random, Terms terms, String id) {
    int count = 1 + random.nextInt(MAX_TASKS);
    if (random.nextInt(terms.guiltyOneIn()) == 0) {
      TaskId task = new TaskId(id, 0, 0, random.nextInt(count));
      guilty.add(task);
      world.workers.crashAfterMillis.put(task, terms.crashMillis());
    }
    world.submit(random.nextInt(NODES), id, CellWorld.step(count));
  }

  private static void loseHolder(CellWorld world, long awayMillis, boolean isKill) {
    for (CellWorld.Node node : world.nodes) {
      if (node.process != null && !node.isPaused() && node.process.isHolder()) {
        if (isKill) {
          node.kill();
          world.time.after(awayMillis, node::start);
        } else {
          node.pause(awayMillis);
        }
        return;
      }
    }
  }

  /** Returns the guilty tasks that were started too often after the third worker that crashed. */
  private List<String> startedTooOften(CellWorld world) {
    List<String> tooOften = new ArrayList<>();
    for (TaskId task : guilty) {
      Set<String> crashed = new HashSet<>();
      List<Long> later = new ArrayList<>();
      long third = Long.MAX_VALUE;
      for (FakeWorkers.Crash crash : world.workers.crashLog) {
        boolean isLost = crash.lost().stream().anyMatch(run -> run.task().equals(task));
        if (isLost && crashed.add(crash.worker()) && crashed.size() == COUNTED_WORKERS) {
          third = crash.atMillis();
        }
      }
      for (FakeWorkers.Start start : world.workers.startLog) {
        if (start.run().task().equals(task) && start.atMillis() > third) {
          later.add(start.atMillis());
        }
      }
      if (later.size() >= MAX_LATER_STARTS) {
        tooOften.add(task + " at " + later);
      }
    }
    return tooOften;
  }
}
