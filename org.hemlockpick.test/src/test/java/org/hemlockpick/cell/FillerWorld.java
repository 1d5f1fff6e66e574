package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * A service with serving tasks of some images on nearly all workers, and fillers that come in
 * bursts. Records how long fillers wait beside unused workers.
 */
final class FillerWorld {
  static final int WORKERS = 24;
  static final int FILLER_IMAGES = 9;
  private static final long SEED = 20261205;
  private static final long WORKER_CPU = 36_000;
  private static final ResourceAmounts CAPACITY = new ResourceAmounts(WORKER_CPU, 144_000, 0);
  private static final long LEASE_MILLIS = 6_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long SERVING_CPU = 4_000;
  private static final int TAIL_TARGET_MILLIS = 100;

  /** Time for which a filler waits, from which it counts as one that waits. */
  private static final long MIN_WAIT_MILLIS = 500;

  final CellWorld world = new CellWorld(SEED, 2, WORKERS, LEASE_MILLIS);
  final SimulatedInterference interference;
  private final SplittableRandom random = new SplittableRandom(SEED);

  /** Fillers that are not done, with the time since which they have waited or run. */
  private final Map<TaskId, Long> lastSeen = new LinkedHashMap<>();

  /** Jobs of fillers that are not done, with the time since which none of theirs has run. */
  private final Map<String, Long> lastRan = new LinkedHashMap<>();

  private int jobs;
  private long halfUnusedMillis;

  /** Fillers that are done. */
  int done;

  /** Longest time for which a filler waited on end while under half of the CPU was in use. */
  long longestWaitMillis;

  /** The filler that waited for it. */
  @Nullable TaskId longestWaiting;

  /** Longest time on end for which a job had fillers to run and none ran. */
  long longestJobWaitMillis;

  /** Longest time on end for which fillers waited with half of the usable CPU idle. */
  long longestHalfUnusedMillis;

  /** Highest number of serving tasks that were over their target at a time. */
  int mostHarmed;

  /** Sums of the CPU used by fillers and of that not used by serving tasks, over all steps. */
  double usedByFillers;

  double leftByServing;

  FillerWorld(double harmfulShare) {
    interference = new SimulatedInterference(SEED, harmfulShare);
    world.workers.simulate(interference);
    for (int i = 0; i < WORKERS; i++) {
      world.resizeWorker("w" + i, CAPACITY, 0);
    }
    run(SETTLE_MILLIS);
  }

  private static Step step(
      int count, long cpu, long millis, int maxPerWorker, String image, boolean isServing) {
    return new Step(
        count,
        new ResourceAmounts(cpu, 500, 0),
        millis,
        List.of(),
        false,
        false,
        false,
        null,
        null,
        maxPerWorker,
        false,
        isServing,
        image,
        isServing ? TAIL_TARGET_MILLIS : 0,
        !isServing,
        null);
  }

  /** Starts serving tasks of an image. */
  void serve(String image, int count, int maxPerWorker) {
    world.submit(0, "serving-" + image, step(count, SERVING_CPU, 0, maxPerWorker, image, true));
    run(1_000);
  }

  /** Starts serving tasks of five images: one on every worker, two more on most, others on few. */
  void serve() {
    serve("s0", WORKERS, 1);
    serve("s1", 18, 1);
    serve("s2", 14, 1);
    serve("s3", 8, 0);
    serve("s4", 8, 0);
  }

  /** Submits a job of fillers of one image. */
  void submitFillers(String image, int count, long cpu, long millis) {
    String id = "filler" + ++jobs;
    world.submit(0, id, step(count, cpu, millis, 0, image, false));
    lastRan.put(id, world.time.millis());
    for (int i = 0; i < count; i++) {
      lastSeen.put(new TaskId(id, 0, 0, i), world.time.millis());
    }
  }

  /** Submits some jobs of fillers. */
  void submitBurst(int count) {
    for (int i = 0; i < count; i++) {
      submitFillers(
          "f" + random.nextInt(FILLER_IMAGES),
          random.nextInt(4, 14),
          random.nextInt(3_000, 6_500),
          random.nextInt(1_000, 4_000));
    }
  }

  void run(long millis) {
    for (long until = world.time.millis() + millis; world.time.millis() < until; ) {
      world.time.runFor(SimulatedInterference.STEP_MILLIS);
      observe(world.time.millis());
    }
  }

  private void observe(long now) {
    double serving = 0;
    double unused = 0;
    double fillers = 0;
    for (int i = 0; i < WORKERS; i++) {
      unused += interference.unusedCpu("w" + i, WORKER_CPU);
      fillers += interference.fillerCpu("w" + i);
      serving += interference.servingCpu("w" + i);
    }
    double capacity = (double) WORKERS * WORKER_CPU;
    usedByFillers += fillers;
    leftByServing += capacity - serving;
    mostHarmed = Math.max(mostHarmed, interference.harmed());
    boolean isHalfInUse = world.workers.reservedCpu() + fillers >= capacity / 2;
    boolean waits = false;
    Set<String> open = new HashSet<>();
    for (TaskId task : new ArrayList<>(lastSeen.keySet())) {
      boolean isRunning = world.workers.isRunning(task);
      if (isRunning) {
        lastRan.put(task.job(), now);
      }
      if (world.workers.isDone(task)) {
        lastSeen.remove(task);
        done++;
        continue;
      }
      open.add(task.job());
      if (isHalfInUse || isRunning) {
        lastSeen.put(task, now);
      } else {
        long waited = now - lastSeen.getOrDefault(task, now);
        waits |= waited > MIN_WAIT_MILLIS;
        if (waited > longestWaitMillis) {
          longestWaitMillis = waited;
          longestWaiting = task;
        }
      }
    }
    lastRan.keySet().retainAll(open);
    for (long since : lastRan.values()) {
      longestJobWaitMillis = Math.max(longestJobWaitMillis, now - since);
    }
    boolean isHalfUnused = unused > (capacity - serving) / 2;
    halfUnusedMillis =
        waits && isHalfUnused ? halfUnusedMillis + SimulatedInterference.STEP_MILLIS : 0;
    longestHalfUnusedMillis = Math.max(longestHalfUnusedMillis, halfUnusedMillis);
  }

  /** Returns the number of fillers that are not done. */
  int notDone() {
    return lastSeen.size();
  }

  /** Returns the share of their time for which serving tasks were harmed, in percent. */
  double harmedPercent() {
    return 100.0 * interference.harmMillis / interference.servingMillis;
  }

  /** Returns the share of the CPU left by serving tasks that fillers have used, in percent. */
  double usedPercent() {
    return 100 * usedByFillers / leftByServing;
  }

  /** Describes what was measured, with the log lines of the filler that waited longest. */
  String text() {
    String waiting = " " + longestWaiting + " ";
    List<String> lines = world.log.stream().filter(line -> line.contains(waiting)).toList();
    return "longest wait %d ms, of a job %d ms, half unused %d ms, harm %d ms, harmed %.2f%%, at most %d, used %.0f%%, %d done, %d not\n%s"
        .formatted(
            longestWaitMillis,
            longestJobWaitMillis,
            longestHalfUnusedMillis,
            interference.longestHarmMillis,
            harmedPercent(),
            mostHarmed,
            usedPercent(),
            done,
            notDone(),
            String.join("\n", lines));
  }
}
