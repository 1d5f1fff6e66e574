package org.hemlockpick.platform.soak;

import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** A seeded series of disturbances that overlap, most of them at the holder. */
final class Trouble {
  private static final double AT_HOLDER = 0.75;
  private static final double KILL_AT_END = 0.12;
  private static final int MOST_AIM_MILLIS = 20;
  private static final double AFTER_TAKE_OVER = 0.6;
  private static final int MOST_TAKE_OVER_MILLIS = 6_000;
  private static final int LEAST_PAUSE_MILLIS = 300;
  private static final int MOST_PAUSE_MILLIS = 2_500;
  private static final int LEAST_DOWN_MILLIS = 700;
  private static final int FORGET_AHEAD_MILLIS = 900;

  /** Each kind as often as it is to come. */
  private static final List<Kind> KINDS =
      Stream.of(Kind.values())
          .flatMap(kind -> Collections.nCopies(kind.share, kind).stream())
          .toList();

  private final World world;
  private final Platform platform;
  private final Fleet fleet;
  private final SplittableRandom random;

  /** Of its own, so that the series of a seed stays what it was. */
  private final SplittableRandom aim;

  Trouble(World world, Platform platform, Fleet fleet, long seed) {
    this.world = world;
    this.platform = platform;
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
    this.aim = new SplittableRandom(~seed);
  }

  private enum Kind {
    FREEZE(4),
    KILL(2),
    REPLACE(3),
    KILL_ALL(1),
    RESTART_WORKER(2),
    HIDE_WORKER(2),
    STORE_AWAY(1),
    LOSE_ANSWERS(1),
    DELAY_WRITES(2),
    DELAY_ORDERS(2),
    CUT_WORKER(2),
    CUT_STORE(2),
    /** A holder is replaced while it is cut from the store, its successor from a worker. */
    OVERLAP(2),
    /** A worker starts anew just before a holder that stood still goes on. */
    FORGET(2),
    /** The holder stands still while the store is away, so that it stays the holder. */
    STALL(2);

    final int share;

    Kind(int share) {
      this.share = share;
    }
  }

  /** Disturbs for a time in milliseconds. */
  void run(long millis) throws InterruptedException {
    long end = world.now() + millis;
    while (world.now() < end) {
      if (aim.nextDouble() < AFTER_TAKE_OVER) {
        awaitHolder();
      }
      if (aim.nextDouble() < KILL_AT_END) {
        killAtEnd(aim.nextInt(MOST_AIM_MILLIS), aim.nextInt(MOST_PAUSE_MILLIS));
      }
      disturb(KINDS.get(random.nextInt(KINDS.size())));
      Thread.sleep(random.nextInt(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS));
      fleet.replaceEnded();
    }
  }

  /** Waits until the cell is held, so that there is work to disturb on a slow machine too. */
  private void awaitHolder() throws InterruptedException {
    long end = world.now() + MOST_TAKE_OVER_MILLIS;
    while (!platform.isHeld() && world.now() < end) {
      Thread.sleep(LEAST_PAUSE_MILLIS);
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

  /** Kills the holder when a run has ended and its end is not confirmed. */
  private void killAtEnd(long aimMillis, long downMillis) {
    synchronized (world) {
      platform
          .oracle()
          .watchNextEnd(
              worker ->
                  world.later(
                      aimMillis,
                      () -> {
                        if (worker.hasEnds()) {
                          world.note("an end at " + worker.label() + " is not confirmed");
                          fleet.killHolderSoon(downMillis);
                        } else {
                          killAtEnd(aimMillis, downMillis);
                        }
                      }));
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
