package org.hemlockpick.daemon.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The bytes that all requests of a process hold. When they run short, the incomplete request of
 * which no byte has arrived for longest is dropped first, and of several the one that began first.
 * May be used on any thread; times are in milliseconds.
 */
final class ByteBudget {
  /** Bodies up to this size are always admitted, as they arrive in few reads. */
  private static final long SMALL_BODY_BYTES = 16_384;

  /** Time without a byte after which an incomplete request gives way to a new large one. */
  private static final long STALLED_MILLIS = 1_000;

  private static final Comparator<Holding> STALEST =
      Comparator.<Holding>comparingLong(holding -> holding.lastByteAt)
          .thenComparingLong(holding -> holding.beganAt);

  private final long limit;
  private final Set<Holding> holdings = new HashSet<>();
  private long used;

  ByteBudget(long limit) {
    this.limit = limit;
  }

  /**
   * Returns whether a request may be received that declares a size by its head.
   *
   * @param holding what the request holds already
   */
  synchronized boolean admits(Holding holding, long declaredBytes, long nowMillis) {
    if (declaredBytes <= SMALL_BODY_BYTES || used == holding.bytes) {
      return true;
    }
    long stalled =
        holdings.stream()
            .filter(other -> other != holding && other.incomplete)
            .filter(other -> nowMillis - other.lastByteAt >= STALLED_MILLIS)
            .mapToLong(other -> other.bytes)
            .sum();
    return declaredBytes <= limit - used + stalled;
  }

  /**
   * Adds bytes to a holding, and drops others if that is necessary. A holding that is alone may
   * exceed the limit.
   *
   * @return whether the bytes were added; if not, the holding is as before
   */
  boolean add(Holding holding, long bytes) {
    List<Holding> dropped = new ArrayList<>();
    boolean added = addAndDrop(holding, bytes, dropped);
    dropped.forEach(victim -> victim.onDropped.run());
    return added;
  }

  private synchronized boolean addAndDrop(Holding holding, long bytes, List<Holding> dropped) {
    if (holding.isDropped || bytes == 0) {
      return !holding.isDropped;
    }
    while (used + bytes > limit && used > holding.bytes) {
      Holding victim = stalest(holding).orElse(null);
      if (victim == null) {
        return false;
      }
      victim.isDropped = true;
      remove(victim);
      dropped.add(victim);
    }
    holding.bytes += bytes;
    used += bytes;
    holdings.add(holding);
    return true;
  }

  private Optional<Holding> stalest(Holding except) {
    return holdings.stream()
        .filter(holding -> holding != except && holding.incomplete)
        .min(STALEST);
  }

  /** Notes that bytes of an incomplete request have arrived. */
  synchronized void touch(Holding holding, long nowMillis) {
    holding.lastByteAt = nowMillis;
  }

  /** Notes that a request begins; it may be dropped until it is complete. */
  synchronized void begin(Holding holding, long nowMillis) {
    holding.beganAt = nowMillis;
    holding.lastByteAt = nowMillis;
    holding.incomplete = true;
  }

  /**
   * Notes that a request is complete and is not dropped any more.
   *
   * @return whether it is still held
   */
  synchronized boolean complete(Holding holding) {
    holding.incomplete = false;
    return !holding.isDropped;
  }

  /** Releases all bytes of a holding. */
  synchronized void releaseAll(Holding holding) {
    remove(holding);
  }

  synchronized long usedBytes() {
    return used;
  }

  private void remove(Holding holding) {
    holdings.remove(holding);
    used -= holding.bytes;
    holding.bytes = 0;
  }

  /** The bytes that one connection holds. Fields are used by the budget only. */
  static final class Holding {
    private final Runnable onDropped;
    private long bytes;
    private long beganAt;
    private long lastByteAt;
    private boolean incomplete;
    private boolean isDropped;

    /**
     * Creates a holding of no bytes.
     *
     * @param onDropped called on any thread once its bytes are given to another one
     */
    Holding(Runnable onDropped) {
      this.onDropped = onDropped;
    }
  }
}
