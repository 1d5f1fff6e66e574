package org.hemlockpick.platform.soak;

import java.util.SplittableRandom;

/**
 * Takes the cell from its holder every few seconds: pauses it for longer than a take-over lasts, or
 * kills it. By the seed all are paused, all are killed, or both by turns at random.
 */
final class HolderFaults implements Disturbances {
  private static final int INTERVAL_MILLIS = 5_000;
  private static final int PAUSE_MILLIS = 4_000;
  private static final int KILL_INTERVAL_MILLIS = 3_600;
  private static final int MAX_DOWN_MILLIS = 3_500;

  private final World world;
  private final Fleet fleet;
  private final Loss loss;
  private final SplittableRandom random;

  HolderFaults(World world, Fleet fleet, long seed) {
    this.world = world;
    this.fleet = fleet;
    this.loss = Loss.values()[Math.floorMod(seed, Loss.values().length)];
    this.random = new SplittableRandom(seed);
  }

  /** How the cell loses its holders. */
  private enum Loss {
    KILLS,
    PAUSES,
    BOTH
  }

  @Override
  public void run(long millis) throws InterruptedException {
    long end = world.now() + millis;
    while (world.now() < end) {
      boolean isPause = loss == Loss.PAUSES || (loss == Loss.BOTH && random.nextBoolean());
      Instance holder = fleet.holder();
      if (isPause) {
        fleet.pause(holder, PAUSE_MILLIS);
      } else {
        fleet.kill(holder, 1 + random.nextInt(MAX_DOWN_MILLIS));
      }
      Thread.sleep(isPause ? INTERVAL_MILLIS : KILL_INTERVAL_MILLIS);
      fleet.replaceEnded();
    }
  }
}
