package org.hemlockpick.platform.soak;

import java.util.List;
import java.util.SplittableRandom;

/** A seeded series of disturbances that overlap, most of them at the holder. */
final class Trouble {
  private static final double AT_HOLDER = 0.75;
  private static final int LEAST_PAUSE_MILLIS = 300;
  private static final int MOST_PAUSE_MILLIS = 2_500;
  private static final int LEAST_DOWN_MILLIS = 700;
  private static final int FORGET_AHEAD_MILLIS = 900;

  /** Each kind stands as often as it is to come. */
  private static final List<Kind> KINDS =
      List.of(
          Kind.FREEZE,
          Kind.FREEZE,
          Kind.FREEZE,
          Kind.FREEZE,
          Kind.KILL,
          Kind.KILL,
          Kind.REPLACE,
          Kind.REPLACE,
          Kind.REPLACE,
          Kind.KILL_ALL,
          Kind.RESTART_WORKER,
          Kind.RESTART_WORKER,
          Kind.HIDE_WORKER,
          Kind.HIDE_WORKER,
          Kind.STORE_AWAY,
          Kind.LOSE_ANSWERS,
          Kind.DELAY_WRITES,
          Kind.DELAY_WRITES,
          Kind.DELAY_ORDERS,
          Kind.DELAY_ORDERS,
          Kind.CUT_WORKER,
          Kind.CUT_WORKER,
          Kind.CUT_STORE,
          Kind.CUT_STORE,
          Kind.OVERLAP,
          Kind.OVERLAP,
          Kind.FORGET,
          Kind.FORGET,
          Kind.STALL,
          Kind.STALL);

  private final World world;
  private final Platform platform;
  private final Fleet fleet;
  private final SplittableRandom random;

  Trouble(World world, Platform platform, Fleet fleet, long seed) {
    this.world = world;
    this.platform = platform;
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
  }

  private enum Kind {
    FREEZE,
    KILL,
    REPLACE,
    KILL_ALL,
    RESTART_WORKER,
    HIDE_WORKER,
    STORE_AWAY,
    LOSE_ANSWERS,
    DELAY_WRITES,
    DELAY_ORDERS,
    CUT_WORKER,
    CUT_STORE,
    /** A holder is replaced while it is cut from the store, its successor from a worker. */
    OVERLAP,
    /** A worker starts anew just before a holder that stood still goes on. */
    FORGET,
    /** The holder stands still while the store is away, so that it stays the holder. */
    STALL
  }

  /** Disturbs for a time in milliseconds. */
  void run(long millis) throws InterruptedException {
    long end = world.now() + millis;
    while (world.now() < end) {
      disturb(KINDS.get(random.nextInt(KINDS.size())));
      Thread.sleep(random.nextInt(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS));
      fleet.replaceEnded();
    }
  }

  private void disturb(Kind kind) {
    // As many numbers are drawn for every kind, so that the series depends on the seed alone.
    boolean atHolder = random.nextDouble() < AT_HOLDER;
    double share = random.nextDouble();
    int number = random.nextInt(platform.workers().size());
    if (fleet.serving().isEmpty()) {
      return;
    }
    Instance process = atHolder ? fleet.holder() : fleet.any();
    SimWorker worker = platform.workers().get(number);
    switch (kind) {
      case FREEZE -> fleet.freeze(process, length(1_000, 9_000, share));
      case KILL -> fleet.kill(process, length(0, 2_000, share));
      case REPLACE -> fleet.replace(process, share < 0.5 ? 0 : length(0, 1_500, share));
      case KILL_ALL -> fleet.serving().forEach(each -> fleet.kill(each, length(0, 800, share)));
      case RESTART_WORKER -> restart(worker, length(LEAST_DOWN_MILLIS, 2_500, share));
      case HIDE_WORKER -> {
        world.note("hide " + worker.id());
        platform.hide(worker, length(1_500, 2_500, share));
      }
      case STORE_AWAY -> calls(kind, length(1_000, 5_000, share));
      case LOSE_ANSWERS, DELAY_WRITES, DELAY_ORDERS -> calls(kind, length(1_000, 4_000, share));
      case CUT_WORKER -> cut(process, worker, length(1_000, 9_000, share));
      case CUT_STORE -> cut(process, length(1_000, 9_000, share));
      case OVERLAP -> overlap(process, worker, length(2_000, 9_000, share));
      case FORGET -> forget(process, worker, length(3_000, 7_500, share));
      case STALL -> {
        calls(Kind.STORE_AWAY, length(2_500, 5_000, share));
        fleet.freeze(process, length(1_600, 4_500, share));
      }
    }
  }

  private void overlap(Instance process, SimWorker worker, long millis) {
    cut(process, millis);
    if (fleet.terminate(process)) {
      cut(fleet.start(process.name()), worker, millis);
    }
  }

  private void forget(Instance process, SimWorker worker, long millis) {
    fleet.freeze(process, millis);
    world.later(millis - FORGET_AHEAD_MILLIS, () -> restart(worker, LEAST_DOWN_MILLIS));
  }

  private void restart(SimWorker worker, long millis) {
    synchronized (world) {
      if (worker.isUp()) {
        world.note("restart " + worker.label() + ", down for " + millis + " ms");
        platform.restart(worker, millis);
      }
    }
  }

  private void cut(Instance process, SimWorker worker, long millis) {
    synchronized (world) {
      world.note("cut " + process.label() + " from " + worker.id() + " for " + millis + " ms");
      platform.faults().cutFromWorker(process.label(), worker.id(), millis);
    }
  }

  private void cut(Instance process, long millis) {
    synchronized (world) {
      world.note("cut " + process.label() + " from the store for " + millis + " ms");
      platform.faults().cutFromStore(process.label(), millis);
    }
  }

  private void calls(Kind kind, long millis) {
    synchronized (world) {
      world.note(kind + " for " + millis + " ms");
      switch (kind) {
        case STORE_AWAY -> platform.faults().takeStoreAway(millis, random.nextBoolean());
        case LOSE_ANSWERS -> platform.faults().loseAnswers(millis);
        case DELAY_WRITES -> platform.faults().delayWrites(millis);
        default -> platform.faults().delayOrders(millis);
      }
    }
  }

  private static long length(int least, int most, double share) {
    return least + (long) (share * (most - least));
  }
}
