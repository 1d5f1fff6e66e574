package org.hemlockpick.platform.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Plays days with faults to real processes. The properties {@code soak.seeds} (a list, or
 * first..last), {@code soak.seconds} (of faults), {@code soak.processes} and {@code soak.jar} (a
 * build to play in place of the class path) are for plays by hand. A seed gives the series of
 * disturbances; what the processes make of it depends on the machine too.
 */
class SoakTest {
  private static final String SEEDS = "1";
  private static final int FAULT_SECONDS = 25;
  private static final int PROCESSES = 4;
  private static final long READY_MILLIS = 30_000;
  private static final long CALM_MILLIS = 4_000;
  private static final long SETTLE_MILLIS = 60_000;
  private static final Path FOLDER = Path.of("target", "soak");

  /** Guards against the incident of 2026-12-04: tasks ran twice, jobs were shown as failed. */
  @Test
  void noTaskRunsTwiceAndNoJobIsLost() throws Exception {
    List<String> broken = new ArrayList<>();
    for (long seed : seeds(System.getProperty("soak.seeds", SEEDS))) {
      broken.addAll(play(seed, Integer.getInteger("soak.seconds", FAULT_SECONDS) * 1_000L));
    }
    assertTrue(broken.isEmpty(), () -> String.join("\n", broken));
  }

  /** Plays one day, and returns the broken rules. */
  private static List<String> play(long seed, long faultMillis) throws Exception {
    Path folder = FOLDER.resolve(Long.toString(seed)).toAbsolutePath();
    clear(folder);
    World world = new World(seed);
    List<String> breaches;
    String counts;
    try (world;
        Platform platform = new Platform(world);
        Fleet fleet =
            new Fleet(world, platform, folder, Integer.getInteger("soak.processes", PROCESSES))) {
      try {
        disturb(seed, faultMillis, world, platform, fleet);
      } finally {
        Files.write(folder.resolve("events.txt"), world.events());
      }
      synchronized (world) {
        platform.oracle().onEnd();
        breaches = platform.oracle().breaches();
        counts = platform.oracle().counts();
      }
    }
    Files.write(folder.resolve("events.txt"), world.events());
    System.out.println("soak seed " + seed + ": " + breaches.size() + " breaches, " + counts);
    if (breaches.isEmpty()) {
      return breaches;
    }
    List<String> told = new ArrayList<>(breaches);
    told.add("seed " + seed + ", logs and events in " + folder);
    told.addAll(world.events());
    told.forEach(System.out::println);
    return told;
  }

  private static void disturb(
      long seed, long faultMillis, World world, Platform platform, Fleet fleet)
      throws InterruptedException {
    Callers callers = new Callers(world, fleet, platform.oracle());
    try {
      await(world, READY_MILLIS, () -> platform.oracle().accepted() > 2);
      Thread.sleep(CALM_MILLIS);
      new Trouble(world, platform, fleet, seed).run(faultMillis);
      world.note("all faults end");
      synchronized (world) {
        platform.faults().heal();
      }
      fleet.heal();
      callers.stopSubmitting();
      long end = world.now() + SETTLE_MILLIS;
      while (world.now() < end && !callers.isDone()) {
        Thread.sleep(200);
        fleet.replaceEnded();
      }
      world.note("settled, all done " + callers.isDone());
      assertFalse(callers.isBroken(), "a caller of the rig failed");
    } finally {
      callers.end();
    }
  }

  private static void await(World world, long millis, Condition condition)
      throws InterruptedException {
    long end = world.now() + millis;
    while (true) {
      synchronized (world) {
        if (condition.holds()) {
          return;
        }
      }
      assertTrue(world.now() < end, "no job was accepted");
      Thread.sleep(50);
    }
  }

  private static List<Long> seeds(String text) {
    int dots = text.indexOf("..");
    if (dots >= 0) {
      long first = Long.parseLong(text.substring(0, dots));
      return LongStream.rangeClosed(first, Long.parseLong(text.substring(dots + 2)))
          .boxed()
          .toList();
    }
    return List.of(text.split(",", -1)).stream().map(Long::valueOf).toList();
  }

  /** Removes what an earlier play of the same seed left. */
  private static void clear(Path folder) throws IOException {
    Files.createDirectories(folder);
    List<Path> old;
    try (var files = Files.list(folder)) {
      old = files.toList();
    }
    for (Path file : old) {
      Files.delete(file);
    }
  }

  /** A condition on what the oracle saw. */
  @FunctionalInterface
  private interface Condition {
    boolean holds();
  }
}
