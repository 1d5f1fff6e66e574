package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.cell.WorkerPort.RunId;

/**
 * Tests that tasks which crash their workers are given up, and no other ones, while holders are
 * killed, frozen and stopped between an order and its crash. What counts is what the workers saw.
 */
class CrashFuzzTest {
  private static final int NODES = 4;
  private static final int WORKERS = 10;
  private static final int JOBS = 12;
  private static final long MAX_PAUSE_MILLIS = 600;
  private static final long PLAY_MILLIS = 100_000;
  private static final long POLL_MILLIS = 2;

  /** Starts of a task after the second crash under it, and after the third, that are too many. */
  private static final int MAX_LATER_STARTS = 3;

  private final List<TaskId> guilty = new ArrayList<>();

  /** Jobs whose first step is a gang. */
  private final Set<String> gangs = new HashSet<>();

  @Property(tries = 40, seed = "20261208")
  void onlyTasksThatCrashTheirWorkersAreGivenUp(@ForAll long seed) {
    new CrashFuzzTest().play(seed, CellWorld.LEASE_MILLIS);
  }

  /** The same where a lease is longest. */
  @Property(tries = 20, seed = "20261209")
  void onlyTasksThatCrashTheirWorkersAreGivenUpWhereLeasesAreLong(@ForAll long seed) {
    new CrashFuzzTest().play(seed, 10_000);
  }

  void play(long seed, long leaseMillis) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS, leaseMillis);
    SplittableRandom random = new SplittableRandom(seed);
    world.workers.runMillis = 200L + random.nextInt(2_000);
    world.workers.crashReturnMillis = 1_000L + random.nextInt(4_000);
    world.workers.returnsUnderOtherIdentifier = random.nextBoolean();
    world.time.runFor(3_000);
    int changes = 2 + random.nextInt(5);
    List<Integer> jobs = new ArrayList<>();
    int[] seen = new int[1];
    long until = world.time.millis() + PLAY_MILLIS;
    long nextJobAt = 0;
    long changeAt = Long.MAX_VALUE;
    while (world.time.millis() < until) {
      long now = world.time.millis();
      if (jobs.size() < JOBS && now >= nextJobAt) {
        nextJobAt = now + random.nextLong(MAX_PAUSE_MILLIS);
        jobs.add(jobs.size());
        submit(world, random, "j" + jobs.size());
      }
      int starts = (int) world.workers.starts.stream().filter(guilty::contains).count();
      if (starts > seen[0] && changes > 0 && changeAt == Long.MAX_VALUE) {
        changeAt = now + (random.nextBoolean() ? random.nextLong(20) : random.nextLong(3_000));
      }
      seen[0] = starts;
      if (now >= changeAt) {
        changes--;
        changeAt = Long.MAX_VALUE;
        changeHolder(world, random);
      }
      world.time.runFor(POLL_MILLIS);
    }
    check(world);
  }

  private void submit(CellWorld world, SplittableRandom random, String id) {
    int count = 1 + random.nextInt(4);
    if (random.nextInt(4) == 0) {
      TaskId task = new TaskId(id, 0, 0, random.nextInt(count));
      guilty.add(task);
      world.workers.crashAfterMillis.put(task, 5 + random.nextLong(60));
    }
    boolean gang = random.nextInt(4) == 0;
    if (gang) {
      gangs.add(id);
    }
    Step first = gang ? CellWorld.constrainedStep(count, true, 0) : CellWorld.step(count);
    int node = random.nextInt(NODES);
    if (random.nextBoolean()) {
      world.submit(node, id, first, CellWorld.step(1 + random.nextInt(2), 0));
    } else {
      world.submit(node, id, first);
    }
  }

  private static void changeHolder(CellWorld world, SplittableRandom random) {
    for (CellWorld.Node node : world.nodes) {
      CellMember process = node.process;
      if (process != null && !node.isPaused() && process.isHolder()) {
        switch (random.nextInt(3)) {
          case 0 -> {
            node.kill();
            world.time.after(1_000 + random.nextLong(5_000), node::start);
          }
          case 1 -> node.suspend(4_000 + random.nextLong(4_000));
          default -> {
            process.beginStop();
            world.time.after(
                1_500,
                () -> {
                  node.kill();
                  node.start();
                });
          }
        }
        return;
      }
    }
  }

  private void check(CellWorld world) {
    List<String> wrong = new ArrayList<>();
    guilty.forEach(task -> checkStarts(world, task, wrong));
    List<String> jobs = guilty.stream().map(TaskId::job).toList();
    for (Submission job : world.acceptedJobs()) {
      JobState wanted = jobs.contains(job.id()) ? JobState.FAILED : JobState.COMPLETED;
      JobState state = world.state(job.id());
      if (state != wanted) {
        wrong.add(job.id() + " is " + state + ", not " + wanted);
      }
    }
    assertEquals(List.of(), wrong, () -> String.join("\n", world.log));
    assertEquals(List.of(), world.workers.violations, () -> String.join("\n", world.log));
  }

  /**
   * Counts the starts after the second crash. Those of a member of a gang that ended because
   * another member did are left out, as no worker crashed under them; after the third crash all
   * count.
   */
  private void checkStarts(CellWorld world, TaskId task, List<String> wrong) {
    Set<RunId> lost = new HashSet<>();
    List<Long> crashes = new ArrayList<>();
    for (FakeWorkers.Crash crash : world.workers.crashLog) {
      if (crash.lost().stream().anyMatch(run -> run.task().equals(task))) {
        crashes.add(crash.atMillis());
        lost.addAll(crash.lost());
      }
    }
    int afterTwo = 0;
    int afterThree = 0;
    for (FakeWorkers.Start start : world.workers.startLog) {
      if (start.run().task().equals(task) && crashes.size() >= 2) {
        boolean counts = !gangs.contains(task.job()) || lost.contains(start.run());
        afterTwo += counts && start.atMillis() > crashes.get(1) ? 1 : 0;
        afterThree += crashes.size() >= 3 && start.atMillis() > crashes.get(2) ? 1 : 0;
      }
    }
    if (afterTwo >= MAX_LATER_STARTS || afterThree >= MAX_LATER_STARTS) {
      wrong.add(task + " was started " + afterTwo + " and " + afterThree + " times after crashes");
    }
  }
}
