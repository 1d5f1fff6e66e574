package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests that every accepted job ends while queues are added, removed and changed at random, alone
 * and around changes of the holder, where instances learn of it at different times.
 */
class QueueChangeFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 5;

  /** Workers of the other service: the last ones. */
  private static final int OTHER_WORKERS = 2;

  private static final int CHANGES = 14;
  private static final int QUEUES = 5;
  private static final int MAX_ATTEMPTS = 50;
  private static final long MAX_PAUSE_MILLIS = 2_500;
  private static final long MAX_LAG_MILLIS = 3_000;

  /** Time after which a worker that restarts has written its entry, in milliseconds. */
  private static final long REGISTERED_MILLIS = 2_000;

  /** Time after which all instances know a configuration, in milliseconds. */
  private static final long SETTLE_MILLIS = 4_000;

  /** Time after the last change in which all jobs are to end, in milliseconds. */
  private static final long FINISH_MILLIS = 40_000;

  private static final long LONG_MILLIS = 600_000;

  private static final String[] SERVICES = {CellWorld.SERVICE, "laundry"};

  private final Map<String, Queue> inForce = new HashMap<>();

  /** Services to which a configuration has sent each queue. */
  private final Map<String, Set<String>> services = new HashMap<>();

  private final Map<String, String> queueByJob = new HashMap<>();

  /** Time of the newest change, or of the newest news of one at an instance. */
  private long changedAt;

  private int jobs;

  @Property(tries = 40, seed = "20261208")
  void everyAcceptedJobEnds(@ForAll long seed) {
    new QueueChangeFuzzTest().play(seed, false);
  }

  /** The same around kills and freezes of the instances, mostly of the holder. */
  @Property(tries = 40, seed = "20261209")
  void everyAcceptedJobEndsThoughHoldersChange(@ForAll long seed) {
    new QueueChangeFuzzTest().play(seed, true);
  }

  private void play(long seed, boolean doHoldersChange) {
    CellWorld world = new CellWorld(seed, NODES, WORKERS);
    SplittableRandom random = new SplittableRandom(seed);
    StartWatchdog watchdog = new StartWatchdog(world, CellWorld.LEASE_MILLIS);
    world.mayRun = (job, worker) -> mayRun(world, job, worker);
    world.workers.runMillis = 200L + random.nextInt(3_000);
    for (int i = WORKERS - OTHER_WORKERS; i < WORKERS; i++) {
      world.moveWorker("w" + i, SERVICES[1]);
    }
    change(world, random);
    world.time.runFor(3_000);
    List<String> longRunning = new ArrayList<>();
    for (int i = 0; i < CHANGES; i++) {
      submit(world, random, longRunning);
      change(world, random);
      if (doHoldersChange && random.nextInt(3) == 0) {
        disturb(world, random);
      } else if (random.nextInt(4) == 0) {
        restart(world, "w" + random.nextInt(WORKERS));
      }
      world.time.runFor(random.nextLong(MAX_PAUSE_MILLIS));
      submit(world, random, longRunning);
    }
    heal(world);
    world.time.runFor(FINISH_MILLIS);
    Set<String> unfinished = new HashSet<>(world.unfinished());
    longRunning.forEach(id -> unfinished.remove(id + " " + JobState.RUNNING));
    assertEquals(Set.of(), unfinished, () -> tail(world));
    assertEquals(List.of(), watchdog.violations, () -> tail(world));
    assertEquals(List.of(), world.workers.violations, () -> tail(world));
    checkServices(world);
    checkRestarts(world, longRunning);
  }

  /** Restarts a worker, which then writes its entry again. */
  private static void restart(CellWorld world, String worker) {
    world.workers.get(worker).restart();
    world.time.after(REGISTERED_MILLIS, () -> world.registerWorker(worker));
  }

  /** Adds, removes or changes a queue; an instance may learn of it late. */
  private void change(CellWorld world, SplittableRandom random) {
    int changes = 1 + random.nextInt(2);
    for (int i = 0; i < changes; i++) {
      String name = "q" + random.nextInt(QUEUES);
      if (random.nextInt(3) > 0 && inForce.remove(name) != null) {
        continue;
      }
      String service = SERVICES[random.nextInt(SERVICES.length)];
      inForce.put(name, CellWorld.queue(name, prefix(name), service, MAX_ATTEMPTS));
      services.computeIfAbsent(name, key -> new HashSet<>()).add(service);
    }
    CellWorld.Node lagging = world.nodes.get(random.nextInt(NODES));
    lagging.missesConfigurations = random.nextInt(3) == 0;
    publish(world);
    world.time.after(random.nextLong(MAX_LAG_MILLIS), () -> catchUp(world, lagging));
  }

  private void catchUp(CellWorld world, CellWorld.Node lagging) {
    if (lagging.missesConfigurations) {
      lagging.missesConfigurations = false;
      publish(world);
    }
  }

  private void publish(CellWorld world) {
    changedAt = world.time.millis();
    world.configure(inForce.values().toArray(new Queue[0]));
  }

  /** Returns the prefix of a queue: two share one, and one begins with another. */
  private static String prefix(String name) {
    return switch (name) {
      case "q0", "q1" -> "/shared/";
      case "q2" -> "/shared/below/";
      default -> "/" + name + "/";
    };
  }

  private void submit(CellWorld world, SplittableRandom random, List<String> longRunning) {
    String id = "j" + ++jobs;
    String queue = "q" + random.nextInt(QUEUES);
    int count = 1 + random.nextInt(3);
    List<Step> steps = new ArrayList<>();
    if (random.nextInt(6) == 0 && longRunning.size() < 2) {
      longRunning.add(id);
      world.workers.runMillisByJob.put(id, LONG_MILLIS);
      steps.add(CellWorld.step(1, false, null, 0, true, List.of()));
    } else {
      steps.add(CellWorld.step(count));
      steps.add(CellWorld.step(1 + random.nextInt(3), 0));
    }
    queueByJob.put(id, queue);
    long now = world.time.millis();
    world.submit(random.nextInt(NODES), new Submission(id, queue, "spec", steps, 0, 0, 0, now));
  }

  private static void disturb(CellWorld world, SplittableRandom random) {
    CellWorld.Node node = world.nodes.get(random.nextInt(NODES));
    if (random.nextBoolean()) {
      for (CellWorld.Node each : world.nodes) {
        node = each.process != null && each.process.isHolder() ? each : node;
      }
    }
    switch (random.nextInt(3)) {
      case 0 -> {
        node.kill();
        world.time.runFor(random.nextLong(1_000));
        node.start();
      }
      case 1 -> node.pause(500 + random.nextLong(8_000));
      default -> node.suspend(500 + random.nextLong(8_000));
    }
  }

  private void heal(CellWorld world) {
    world.time.runFor(10_000);
    world.nodes.forEach(node -> node.missesConfigurations = false);
    publish(world);
  }

  /** Checks that nothing started at a service to which no configuration sends its queue. */
  private void checkServices(CellWorld world) {
    for (FakeWorkers.Start start : world.workers.startLog) {
      Set<String> allowed = servicesOf(start.run().task().job());
      assertTrue(allowed.contains(serviceOf(start.worker())), start::toString);
    }
  }

  /**
   * Returns whether a job is to run at a worker: once all instances know the newest configuration,
   * at those of its queue's service, or of the only service that it has had.
   */
  private boolean mayRun(CellWorld world, String job, String worker) {
    Queue queue = inForce.get(queueByJob.get(job));
    Set<String> allowed = queue == null ? servicesOf(job) : Set.of(queue.service());
    boolean isKnown = world.time.millis() - changedAt > SETTLE_MILLIS;
    return isKnown && allowed.equals(Set.of(serviceOf(worker)));
  }

  private Set<String> servicesOf(String job) {
    return services.getOrDefault(queueByJob.get(job), Set.of());
  }

  private static String serviceOf(String worker) {
    int number = Integer.parseInt(worker.substring(1));
    return SERVICES[number < WORKERS - OTHER_WORKERS ? 0 : 1];
  }

  private static void checkRestarts(CellWorld world, List<String> longRunning) {
    for (Submission job : world.acceptedJobs()) {
      if (longRunning.contains(job.id())) {
        assertTrue(world.workers.isRunning(new TaskId(job.id(), 0, 0, 0)), () -> tail(world));
      }
    }
  }

  private static String tail(CellWorld world) {
    int size = world.log.size();
    return String.join("\n", world.log.subList(Math.max(0, size - 3_000), size));
  }
}
