package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests that every job ends and that what can run is started, after restarts in which the times of
 * day of workers and entry instances jump, and entries of earlier boots are written late.
 */
class ClockJumpFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 5;
  private static final int FAULTS = 10;
  private static final long MAX_PAUSE_MILLIS = 1_500;

  /** How far a time of day may be ahead or back, in milliseconds. */
  private static final long MAX_JUMP_MILLIS = 4_000;

  private static final long CALM_MILLIS = 40_000;
  private static final long END_MILLIS = 30_000;

  private final List<Entry> entries = new ArrayList<>();
  private int jobs;

  /** An entry of a worker, which may be written again though it has restarted since. */
  private record Entry(String worker, ByteString value) {}

  @Property(tries = 30, seed = "20261208")
  void everyJobEnds(@ForAll long seed) {
    new ClockJumpFuzzTest().play(seed);
  }

  void play(long seed) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS);
    SplittableRandom random = new SplittableRandom(seed);
    StartWatchdog watchdog = new StartWatchdog(world, CellWorld.LEASE_MILLIS);
    world.workers.maxWallJumpMillis = MAX_JUMP_MILLIS;
    world.workers.runMillis = 200L + random.nextInt(2_000);
    world.workers.maxCompletions = random.nextInt(4) == 0 ? 2 : 500;
    world.workers.returnsUnderOtherIdentifier = false;
    world.time.runFor(3_000);
    for (int i = 0; i < FAULTS; i++) {
      submit(world, random);
      disturb(world, random);
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
    }
    heal(world);
    long until = world.time.millis() + CALM_MILLIS;
    while (world.time.millis() < until) {
      submit(world, random);
      world.time.runFor(1 + random.nextLong(2_000));
    }
    world.time.runFor(END_MILLIS);
    assertTrue(watchdog.checks() > 100, () -> watchdog.checks() + " checks");
    assertEquals(List.of(), watchdog.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.unfinished(), () -> String.join("\n", world.log));
  }

  private void submit(CellWorld world, SplittableRandom random) {
    String id = "j" + ++jobs;
    int node = random.nextInt(NODES);
    world.submit(
        node,
        id,
        CellWorld.step(1 + random.nextInt(WORKERS)),
        CellWorld.step(1 + random.nextInt(3), 0));
  }

  private void disturb(CellWorld world, SplittableRandom random) {
    CellWorld.Node node = world.nodes.get(random.nextInt(NODES));
    String id = "w" + random.nextInt(WORKERS);
    FakeWorkers.Model worker = world.workers.get(id);
    switch (random.nextInt(10)) {
      case 0 -> node.kill();
      case 1 -> node.suspend(500 + random.nextLong(4_000));
      case 2 -> node.wallOffsetMillis = random.nextLong(-MAX_JUMP_MILLIS, MAX_JUMP_MILLIS + 1);
      case 3 -> worker.replyMillis = random.nextLong(1_500);
      case 4 -> writeLate(world, random);
      case 5 -> crash(world, worker, random);
      case 6 -> {
        restart(world, id, random);
        world.time.runFor(1 + random.nextLong(2_500));
        restart(world, id, random);
      }
      default -> restart(world, id, random);
    }
  }

  private void restart(CellWorld world, String id, SplittableRandom random) {
    long down = 300 + random.nextLong(1_500);
    remember(world, id);
    world.workers.get(id).restart(down);
    if (random.nextInt(4) > 0) {
      world.time.after(down, () -> world.registerWorker(id));
    }
  }

  private void crash(CellWorld world, FakeWorkers.Model worker, SplittableRandom random) {
    remember(world, worker.id());
    world.workers.crashReturnMillis = 300 + random.nextLong(3_000);
    worker.crash();
  }

  private void remember(CellWorld world, String id) {
    world.store.platformValue("workers", id).ifPresent(value -> entries.add(new Entry(id, value)));
  }

  /** Writes the entry of an earlier boot, as a call that was delayed on its way does. */
  private void writeLate(CellWorld world, SplittableRandom random) {
    if (!entries.isEmpty()) {
      Entry entry = entries.get(random.nextInt(entries.size()));
      world.store.put("workers", entry.worker(), entry.value());
    }
  }

  private void heal(CellWorld world) {
    world.time.runFor(4_000);
    for (CellWorld.Node node : world.nodes) {
      if (node.process == null) {
        node.start();
      }
    }
    for (int i = 0; i < WORKERS; i++) {
      world.workers.get("w" + i).replyMillis = 2;
      world.registerWorker("w" + i);
    }
  }
}
