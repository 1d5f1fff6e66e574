package org.hemlockpick.world;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Holds the state of the network and the store and draws random delays and losses. */
final class Conditions {
  private static final int LOCAL_MILLIS = 2;
  private static final int REMOTE_MILLIS = 12;
  private static final int STORE_MILLIS = 6;

  final Random random;
  @Nullable SeededFault seededFault;
  boolean storeDown;
  boolean storeSlow;
  boolean storeLosesAnswers;
  boolean lossyPeers;
  boolean lossyWorkers;
  final Set<String> cutZones = new HashSet<>();
  final Set<String> cutFromPlatform = new HashSet<>();

  Conditions(long seed) {
    random = new Random(seed);
  }

  void heal() {
    storeDown = false;
    storeSlow = false;
    storeLosesAnswers = false;
    lossyPeers = false;
    lossyWorkers = false;
    cutZones.clear();
    cutFromPlatform.clear();
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  boolean canReach(String zoneA, String zoneB) {
    return zoneA.equals(zoneB) || !(cutZones.contains(zoneA) || cutZones.contains(zoneB));
  }

  boolean canReachPlatform(String zone) {
    return !cutZones.contains(zone) && !cutFromPlatform.contains(zone);
  }

  long peerDelay(String zoneA, String zoneB) {
    long base = zoneA.equals(zoneB) ? LOCAL_MILLIS : REMOTE_MILLIS;
    return jitter(base, lossyPeers ? 800 : 5);
  }

  long workerDelay() {
    return jitter(1, lossyWorkers ? 400 : 3);
  }

  long storeDelay() {
    return storeSlow ? jitter(300, 3_000) : jitter(STORE_MILLIS, 6);
  }

  boolean losesPeerMessage() {
    return lossyPeers && chance(0.2);
  }

  boolean losesWorkerMessage() {
    return lossyWorkers && chance(0.08);
  }

  boolean duplicatesMessage() {
    return chance(0.02);
  }

  private long jitter(long base, int spread) {
    return base + random.nextInt(spread + 1);
  }
}
