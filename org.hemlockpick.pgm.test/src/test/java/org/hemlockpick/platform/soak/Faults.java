package org.hemlockpick.platform.soak;

import java.util.HashMap;
import java.util.Map;

/** The faults that are currently injected into calls. Guarded by the world's lock. */
final class Faults {
  private static final double LOSS_PROBABILITY = 0.3;
  private static final double DELAY_PROBABILITY = 0.25;
  private static final int DISCONNECTED_SILENCE_MILLIS = 2_500;

  private final World world;
  private final Map<String, Long> storeDisconnectedUntil = new HashMap<>();
  private final Map<String, Long> workerDisconnectedUntil = new HashMap<>();
  private final Map<Long, String> holders = new HashMap<>();
  private long storeOutageUntil;
  private boolean storeUnresponsive;
  private long repliesLostUntil;
  private long writesDelayedUntil;
  private long ordersDelayedUntil;
  private boolean ended;

  Faults(World world) {
    this.world = world;
  }

  /**
   * What happens to a call.
   *
   * @param executed whether it is executed now
   * @param answered whether the reply arrives
   * @param delayMillis delay after which it is also executed; 0 if it is not
   * @param silentMillis time until the connection is closed if no reply is sent
   */
  record CallOutcome(boolean executed, boolean answered, long delayMillis, long silentMillis) {
    static final CallOutcome NORMAL = new CallOutcome(true, true, 0, 0);
  }

  void startStoreOutage(long millis, boolean unresponsive) {
    storeOutageUntil = world.now() + millis;
    storeUnresponsive = unresponsive;
  }

  void loseReplies(long millis) {
    repliesLostUntil = world.now() + millis;
  }

  void delayWrites(long millis) {
    writesDelayedUntil = world.now() + millis;
  }

  void delayOrders(long millis) {
    ordersDelayedUntil = world.now() + millis;
  }

  void disconnectFromStore(String process, long millis) {
    storeDisconnectedUntil.put(process, world.now() + millis);
  }

  void disconnectFromWorker(String process, String worker, long millis) {
    workerDisconnectedUntil.put(process + " " + worker, world.now() + millis);
  }

  void onLease(long token, String process) {
    holders.put(token, process);
  }

  boolean isStoreOutage() {
    return world.now() < storeOutageUntil;
  }

  /** Ends all faults permanently. */
  void endAll() {
    ended = true;
    storeOutageUntil = 0;
  }

  /** Decides the outcome of a call from a process to the table service. */
  CallOutcome decideStoreCall(String process, boolean write) {
    long now = world.now();
    if (ended) {
      return CallOutcome.NORMAL;
    }
    if (now < storeOutageUntil) {
      return new CallOutcome(
          false, false, 0, storeUnresponsive ? Math.min(storeOutageUntil - now, 2_000) : 0);
    }
    if (now < storeDisconnectedUntil.getOrDefault(process, 0L)) {
      return new CallOutcome(false, false, 0, DISCONNECTED_SILENCE_MILLIS);
    }
    if (write && now < writesDelayedUntil && world.roll(DELAY_PROBABILITY)) {
      return new CallOutcome(
          false, false, world.between(1_000, 3_000), DISCONNECTED_SILENCE_MILLIS);
    }
    if (now < repliesLostUntil && world.roll(LOSS_PROBABILITY)) {
      return new CallOutcome(true, false, 0, world.roll(0.5) ? 0 : DISCONNECTED_SILENCE_MILLIS);
    }
    return CallOutcome.NORMAL;
  }

  /** Decides the outcome of an order to a worker from the process with the fencing token. */
  CallOutcome decideOrder(String worker, long token) {
    long now = world.now();
    if (ended) {
      return CallOutcome.NORMAL;
    }
    String process = holders.getOrDefault(token, "");
    if (now < workerDisconnectedUntil.getOrDefault(process + " " + worker, 0L)) {
      return new CallOutcome(false, false, 0, DISCONNECTED_SILENCE_MILLIS);
    }
    if (now < ordersDelayedUntil && world.roll(DELAY_PROBABILITY)) {
      return new CallOutcome(false, false, world.between(300, 5_000), DISCONNECTED_SILENCE_MILLIS);
    }
    if (now < ordersDelayedUntil && world.roll(LOSS_PROBABILITY)) {
      return new CallOutcome(true, false, 0, DISCONNECTED_SILENCE_MILLIS);
    }
    return CallOutcome.NORMAL;
  }
}
