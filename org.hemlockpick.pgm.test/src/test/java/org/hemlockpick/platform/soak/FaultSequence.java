package org.hemlockpick.platform.soak;

import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** A seeded sequence of overlapping faults, most of which affect the holder. */
final class FaultSequence implements Disturbances {
  private static final double AT_HOLDER_PROBABILITY = 0.75;
  private static final double KILL_BEFORE_ACK_PROBABILITY = 0.12;
  private static final int MAX_KILL_DELAY_MILLIS = 20;
  private static final double AWAIT_HOLDER_PROBABILITY = 0.6;
  private static final int MAX_TAKEOVER_MILLIS = 6_000;
  private static final int MIN_INTERVAL_MILLIS = 300;
  private static final int MAX_INTERVAL_MILLIS = 2_500;
  private static final int MIN_DOWN_MILLIS = 700;
  private static final int RESTART_LEAD_MILLIS = 900;

  /** Each kind, repeated by its weight. */
  private static final List<Kind> KINDS =
      Stream.of(Kind.values())
          .flatMap(kind -> Collections.nCopies(kind.weight, kind).stream())
          .toList();

  private final World world;
  private final Platform platform;
  private final Fleet fleet;
  private final SplittableRandom random;

  /**
   * Separate from the other generator, so that the sequence of faults of a seed does not change.
   */
  private final SplittableRandom timingRandom;

  FaultSequence(World world, Platform platform, Fleet fleet, long seed) {
    this.world = world;
    this.platform = platform;
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
    this.timingRandom = new SplittableRandom(~seed);
  }

  private enum Kind {
    PAUSE(4),
    KILL(2),
    REPLACE(3),
    KILL_ALL(1),
    RESTART_WORKER(2),
    HIDE_WORKER(2),
    STORE_OUTAGE(1),
    LOSE_REPLIES(1),
    DELAY_WRITES(2),
    DELAY_ORDERS(2),
    DISCONNECT_WORKER(2),
    DISCONNECT_STORE(2),
    /**
     * A process is replaced while it is disconnected from the store and its successor from a
     * worker.
     */
    REPLACE_WHILE_DISCONNECTED(2),
    /** A worker restarts just before a paused process resumes. */
    RESTART_BEFORE_RESUME(2),
    /** A process is paused during a store outage, so that a paused holder remains the holder. */
    PAUSE_DURING_OUTAGE(2);

    final int weight;

    Kind(int weight) {
      this.weight = weight;
    }
  }

  @Override
  public void run(long millis) throws InterruptedException {
    long end = world.now() + millis;
    while (world.now() < end) {
      if (timingRandom.nextDouble() < AWAIT_HOLDER_PROBABILITY) {
        awaitHolder();
      }
      if (timingRandom.nextDouble() < KILL_BEFORE_ACK_PROBABILITY) {
        killBeforeAcknowledgment(
            timingRandom.nextInt(MAX_KILL_DELAY_MILLIS), timingRandom.nextInt(MAX_INTERVAL_MILLIS));
      }
      inject(KINDS.get(random.nextInt(KINDS.size())));
      Thread.sleep(random.nextInt(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS));
      fleet.replaceEnded();
    }
  }

  /** Waits until the cell is held, so that faults hit running work on a slow machine too. */
  private void awaitHolder() throws InterruptedException {
    long end = world.now() + MAX_TAKEOVER_MILLIS;
    while (!platform.isHeld() && world.now() < end) {
      Thread.sleep(MIN_INTERVAL_MILLIS);
      fleet.replaceEnded();
    }
  }

  private void inject(Kind kind) {
    // Every kind draws the same count of numbers, so that the sequence depends only on the seed.
    boolean atHolder = random.nextDouble() < AT_HOLDER_PROBABILITY;
    double fraction = random.nextDouble();
    int number = random.nextInt(platform.workers().size());
    if (fleet.serving().isEmpty()) {
      return;
    }
    Instance process = atHolder ? fleet.holder() : fleet.any();
    SimWorker worker = platform.workers().get(number);
    switch (kind) {
      case PAUSE -> fleet.pause(process, interpolate(1_000, 9_000, fraction));
      case KILL -> fleet.kill(process, interpolate(0, 2_000, fraction));
      case REPLACE -> fleet.replace(process, fraction < 0.5 ? 0 : interpolate(0, 1_500, fraction));
      case KILL_ALL ->
          fleet.serving().forEach(each -> fleet.kill(each, interpolate(0, 800, fraction)));
      case RESTART_WORKER -> restart(worker, interpolate(MIN_DOWN_MILLIS, 2_500, fraction));
      case HIDE_WORKER -> {
        world.log("hide " + worker.id());
        platform.hide(worker, interpolate(1_500, 2_500, fraction));
      }
      case STORE_OUTAGE -> startCallFault(kind, interpolate(1_000, 5_000, fraction));
      case LOSE_REPLIES, DELAY_WRITES, DELAY_ORDERS ->
          startCallFault(kind, interpolate(1_000, 4_000, fraction));
      case DISCONNECT_WORKER -> disconnect(process, worker, interpolate(1_000, 9_000, fraction));
      case DISCONNECT_STORE -> disconnect(process, interpolate(1_000, 9_000, fraction));
      case REPLACE_WHILE_DISCONNECTED ->
          replaceWhileDisconnected(process, worker, interpolate(2_000, 9_000, fraction));
      case RESTART_BEFORE_RESUME ->
          restartBeforeResume(process, worker, interpolate(3_000, 7_500, fraction));
      case PAUSE_DURING_OUTAGE -> {
        startCallFault(Kind.STORE_OUTAGE, interpolate(2_500, 5_000, fraction));
        fleet.pause(process, interpolate(1_600, 4_500, fraction));
      }
    }
  }

  private void replaceWhileDisconnected(Instance process, SimWorker worker, long millis) {
    disconnect(process, millis);
    if (fleet.terminate(process)) {
      disconnect(fleet.start(process.name()), worker, millis);
    }
  }

  /** Kills the holder after the completion of a run and before its acknowledgment. */
  private void killBeforeAcknowledgment(long delayMillis, long downMillis) {
    synchronized (world) {
      platform
          .oracle()
          .watchNextEnd(
              worker ->
                  world.schedule(
                      delayMillis,
                      () -> {
                        if (worker.hasUnacknowledgedEnds()) {
                          world.log("a completion at " + worker.label() + " is not acknowledged");
                          fleet.killHolderSoon(downMillis);
                        } else {
                          killBeforeAcknowledgment(delayMillis, downMillis);
                        }
                      }));
    }
  }

  private void restartBeforeResume(Instance process, SimWorker worker, long millis) {
    fleet.pause(process, millis);
    world.schedule(millis - RESTART_LEAD_MILLIS, () -> restart(worker, MIN_DOWN_MILLIS));
  }

  private void restart(SimWorker worker, long millis) {
    synchronized (world) {
      if (worker.isUp()) {
        world.log("restart " + worker.label() + ", down for " + millis + " ms");
        platform.restart(worker, millis);
      }
    }
  }

  private void disconnect(Instance process, SimWorker worker, long millis) {
    synchronized (world) {
      world.log(
          "disconnect " + process.label() + " from " + worker.id() + " for " + millis + " ms");
      platform.faults().disconnectFromWorker(process.label(), worker.id(), millis);
    }
  }

  private void disconnect(Instance process, long millis) {
    synchronized (world) {
      world.log("disconnect " + process.label() + " from the store for " + millis + " ms");
      platform.faults().disconnectFromStore(process.label(), millis);
    }
  }

  private void startCallFault(Kind kind, long millis) {
    synchronized (world) {
      world.log(kind + " for " + millis + " ms");
      switch (kind) {
        case STORE_OUTAGE -> platform.faults().startStoreOutage(millis, random.nextBoolean());
        case LOSE_REPLIES -> platform.faults().loseReplies(millis);
        case DELAY_WRITES -> platform.faults().delayWrites(millis);
        default -> platform.faults().delayOrders(millis);
      }
    }
  }

  private static long interpolate(int min, int max, double fraction) {
    return min + (long) (fraction * (max - min));
  }
}
