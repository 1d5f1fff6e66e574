package org.hemlockpick.platform.soak;

import java.util.HashMap;
import java.util.Map;

/** What is disturbed at the moment in calls. To be used under the world's lock. */
final class Faults {
  private static final double LOST = 0.3;
  private static final double LATE = 0.25;
  private static final int CUT_SILENCE_MILLIS = 2_500;

  private final World world;
  private final Map<String, Long> storeCutUntil = new HashMap<>();
  private final Map<String, Long> workerCutUntil = new HashMap<>();
  private final Map<Long, String> holders = new HashMap<>();
  private long awayUntil;
  private boolean awaySilent;
  private long answersLostUntil;
  private long writesLateUntil;
  private long ordersLateUntil;
  private boolean healed;

  Faults(World world) {
    this.world = world;
  }

  /**
   * What becomes of a call.
   *
   * @param carriedOut whether it is carried out now
   * @param answered whether the answer arrives
   * @param lateMillis delay after which it is carried out besides; 0 if it is not
   * @param silentMillis time until the connection ends if there is no answer
   */
  record Fate(boolean carriedOut, boolean answered, long lateMillis, long silentMillis) {
    static final Fate NORMAL = new Fate(true, true, 0, 0);
  }

  void takeStoreAway(long millis, boolean silent) {
    awayUntil = world.now() + millis;
    awaySilent = silent;
  }

  void loseAnswers(long millis) {
    answersLostUntil = world.now() + millis;
  }

  void delayWrites(long millis) {
    writesLateUntil = world.now() + millis;
  }

  void delayOrders(long millis) {
    ordersLateUntil = world.now() + millis;
  }

  void cutFromStore(String process, long millis) {
    storeCutUntil.put(process, world.now() + millis);
  }

  void cutFromWorker(String process, String worker, long millis) {
    workerCutUntil.put(process + " " + worker, world.now() + millis);
  }

  void onLease(long token, String process) {
    holders.put(token, process);
  }

  boolean isStoreAway() {
    return world.now() < awayUntil;
  }

  /** Ends all faults for good. */
  void heal() {
    healed = true;
    awayUntil = 0;
  }

  /** Decides on a call of a process to the table service. */
  Fate store(String process, boolean write) {
    long now = world.now();
    if (healed) {
      return Fate.NORMAL;
    }
    if (now < awayUntil) {
      return new Fate(false, false, 0, awaySilent ? Math.min(awayUntil - now, 2_000) : 0);
    }
    if (now < storeCutUntil.getOrDefault(process, 0L)) {
      return new Fate(false, false, 0, CUT_SILENCE_MILLIS);
    }
    if (write && now < writesLateUntil && world.roll(LATE)) {
      return new Fate(false, false, world.between(1_000, 3_000), CUT_SILENCE_MILLIS);
    }
    if (now < answersLostUntil && world.roll(LOST)) {
      return new Fate(true, false, 0, world.roll(0.5) ? 0 : CUT_SILENCE_MILLIS);
    }
    return Fate.NORMAL;
  }

  /** Decides on an order of the process with a fencing token to a worker. */
  Fate order(String worker, long token) {
    long now = world.now();
    if (healed) {
      return Fate.NORMAL;
    }
    String process = holders.getOrDefault(token, "");
    if (now < workerCutUntil.getOrDefault(process + " " + worker, 0L)) {
      return new Fate(false, false, 0, CUT_SILENCE_MILLIS);
    }
    if (now < ordersLateUntil && world.roll(LATE)) {
      return new Fate(false, false, world.between(300, 5_000), CUT_SILENCE_MILLIS);
    }
    if (now < ordersLateUntil && world.roll(LOST)) {
      return new Fate(true, false, 0, CUT_SILENCE_MILLIS);
    }
    return Fate.NORMAL;
  }
}
