package org.hemlockpick.daemon;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tracks the calls of callers from their arrival to their answers, and decides when a process that
 * stops may end: callers with open connections go on sending calls until they learn of the stop.
 * May be used on any thread. Times are on the monotonic clock, in milliseconds.
 */
public final class CallerDrain {
  /** Time since the stop signal during which callers may still be routed here. */
  private static final long MIN_DRAIN_MILLIS = 3_000;

  /** Time without a call after which no further one is expected. */
  private static final long QUIET_MILLIS = 400;

  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile long lastCallAt = Long.MIN_VALUE / 2;

  /** Records that a call has arrived. */
  public void onArrived(long nowMillis) {
    inFlight.incrementAndGet();
    lastCallAt = nowMillis;
  }

  /** Records that a call has got its answer. */
  public void onAnswered(long nowMillis) {
    lastCallAt = nowMillis;
    inFlight.decrementAndGet();
  }

  /**
   * Returns whether the callers are drained.
   *
   * @param stoppedAtMillis time of the stop signal
   */
  public boolean isDrained(long nowMillis, long stoppedAtMillis) {
    return inFlight.get() == 0
        && nowMillis - stoppedAtMillis >= MIN_DRAIN_MILLIS
        && nowMillis - lastCallAt >= QUIET_MILLIS;
  }
}
