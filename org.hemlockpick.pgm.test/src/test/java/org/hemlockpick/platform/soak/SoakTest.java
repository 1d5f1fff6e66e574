package org.hemlockpick.platform.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs real processes on a simulated platform with faults. The properties {@code soak.seeds} (a
 * list, first..last, or {@code failed}), {@code soak.seconds} (of faults), {@code soak.processes}
 * and {@code soak.jar} (a build to test instead of the class path) are for manual runs. A seed
 * determines the sequence of faults; how the processes react also depends on the machine.
 */
class SoakTest {
  private static final String SEEDS = "1";
  private static final int FAULT_SECONDS = 15;
  private static final int PROCESSES = 4;
  private static final long READY_MILLIS = 60_000;
  private static final long FAULT_FREE_MILLIS = 3_000;
  private static final long SETTLE_MILLIS = 120_000;
  private static final Path FOLDER = Path.of("target", "soak");

  /** Every seed that has failed, for manual runs. */
  private static final List<Failed> FAILED =
      List.of(
          new Failed(
              Day.MIXED,
              1,
              "518092e",
              "TWICE",
              "a takeover treated the runs of unlisted workers as expired"),
          new Failed(
              Day.MIXED, 1, "518092e", "LOST", "a failure was counted each time it was reported"),
          new Failed(
              Day.MIXED,
              6,
              "518092e",
              "TWICE",
              "a takeover treated the runs of a worker that left the list as expired"),
          new Failed(Day.MIXED, 31, "518092e", "LOST", "a failure was counted by two holders"),
          new Failed(
              Day.CRASHES, 1, "0670b9a", "BUDGET", "crashes beside suspects were laid to these"),
          new Failed(
              Day.CRASHES, 2, "0670b9a", "BUDGET", "crashes beside suspects were laid to these"));

  /** Guards against the incident of 2026-12-04: tasks ran twice and jobs were shown as failed. */
  @Test
  void noTaskRunsTwiceAndNoJobIsLost() throws Exception {
    play(Day.MIXED);
  }

  /** Guards against a task that crashes worker after worker as none of its crashes is counted. */
  @Test
  void noTaskCrashesWorkersWithoutEndWhileTheHolderChanges() throws Exception {
    play(Day.CRASHES);
  }

  private static void play(Day day) throws Exception {
    List<String> violations = new ArrayList<>();
    for (long seed : seeds(day, System.getProperty("soak.seeds", SEEDS))) {
      long faultMillis = Integer.getInteger("soak.seconds", FAULT_SECONDS) * 1_000L;
      violations.addAll(runSeed(day, seed, faultMillis));
    }
    assertTrue(violations.isEmpty(), () -> String.join("\n", violations));
  }

  /** Runs one seed and returns the violations. */
  private static List<String> runSeed(Day day, long seed, long faultMillis) throws Exception {
    String name = day.run(seed);
    Path folder = FOLDER.resolve(name).toAbsolutePath();
    clear(folder);
    World world = new World(seed);
    List<String> violations;
    String counts;
    try (world;
        Platform platform = new Platform(world, day);
        Fleet fleet =
            new Fleet(world, platform, folder, Integer.getInteger("soak.processes", PROCESSES))) {
      try {
        injectFaults(day, seed, faultMillis, world, platform, fleet);
      } finally {
        Files.write(folder.resolve("events.txt"), world.events());
      }
      synchronized (world) {
        platform.oracle().onEnd();
        violations = platform.oracle().violations();
        counts = platform.oracle().counts();
      }
      counts += ", " + fleet.killedAfterGrace() + " killed at the end of their grace time";
    }
    Files.write(folder.resolve("events.txt"), world.events());
    System.out.printf("soak seed %s: %d violations, %s%n", name, violations.size(), counts);
    if (violations.isEmpty()) {
      return violations;
    }
    List<String> report = new ArrayList<>(violations);
    report.add("seed " + name + ", logs and events in " + folder);
    report.addAll(world.events());
    report.forEach(System.out::println);
    return report;
  }

  private static void injectFaults(
      Day day, long seed, long faultMillis, World world, Platform platform, Fleet fleet)
      throws InterruptedException {
    Callers callers = new Callers(world, fleet, platform.oracle(), day);
    try {
      await(world, READY_MILLIS, () -> platform.oracle().accepted() > 2);
      Thread.sleep(FAULT_FREE_MILLIS);
      day.disturbances(world, platform, fleet, seed).run(faultMillis);
      world.log("all faults end");
      synchronized (world) {
        platform.faults().endAll();
      }
      fleet.resumeAll();
      callers.stopSubmitting();
      long end = world.now() + SETTLE_MILLIS;
      while (world.now() < end && !callers.isDone()) {
        Thread.sleep(200);
        fleet.replaceEnded();
      }
      world.log("settled, all done " + callers.isDone());
      assertFalse(callers.hasFailed(), "a caller of the test failed");
    } finally {
      callers.stop();
    }
  }

  private static void await(World world, long millis, BooleanSupplier condition)
      throws InterruptedException {
    long end = world.now() + millis;
    while (true) {
      synchronized (world) {
        if (condition.getAsBoolean()) {
          return;
        }
      }
      assertTrue(world.now() < end, "no job was accepted");
      Thread.sleep(50);
    }
  }

  private static List<Long> seeds(Day day, String text) {
    if (text.equals("failed")) {
      List<Failed> failed = FAILED.stream().filter(run -> run.day() == day).toList();
      failed.forEach(System.out::println);
      return failed.stream().map(Failed::seed).distinct().toList();
    }
    int dots = text.indexOf("..");
    if (dots >= 0) {
      long first = Long.parseLong(text.substring(0, dots));
      return LongStream.rangeClosed(first, Long.parseLong(text.substring(dots + 2)))
          .boxed()
          .toList();
    }
    return List.of(text.split(",", -1)).stream().map(Long::valueOf).toList();
  }

  /** Removes the files of an earlier run of the same seed. */
  private static void clear(Path folder) throws IOException {
    Files.createDirectories(folder);
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
      for (Path file : files) {
        Files.delete(file);
      }
    }
  }

  /**
   * A run that failed.
   *
   * @param commit commit of the tested build
   */
  private record Failed(Day day, long seed, String commit, String rule, String cause) {}
}
