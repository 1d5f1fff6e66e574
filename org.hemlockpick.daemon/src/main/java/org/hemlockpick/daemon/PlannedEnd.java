package org.hemlockpick.daemon;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Carries out a drain of callers, step by step, and decides when the process may end. Times are on
 * the monotonic clock, in milliseconds.
 */
public final class PlannedEnd {
  /** Part of the time limit that is left for the last answers, in milliseconds. */
  private static final long ANSWER_MILLIS = 1_000;

  private static final long POLL_MILLIS = 20;

  private final CallerDrain drain;
  private final long stopAcceptingAt;
  private final long endAt;
  private boolean accepting = true;

  private PlannedEnd(CallerDrain drain, long stopAcceptingAt, long endAt) {
    this.drain = drain;
    this.stopAcceptingAt = stopAcceptingAt;
    this.endAt = endAt;
  }

  /**
   * Begins a drain.
   *
   * @param routedMillis time for which callers may still be routed here
   * @param limitMillis time after which the process ends, even if a request has no answer
   */
  public static PlannedEnd begin(
      CallerDrain drain, long nowMillis, long routedMillis, long limitMillis) {
    drain.begin();
    long acceptMillis = Math.max(0, Math.min(routedMillis, limitMillis - ANSWER_MILLIS));
    return new PlannedEnd(drain, nowMillis + acceptMillis, nowMillis + limitMillis);
  }

  /**
   * Waits until the process may end or the thread is interrupted.
   *
   * @param clock monotonic clock
   * @param idle whether the process has completed all else
   */
  public void await(LongSupplier clock, BooleanSupplier idle) {
    try {
      while (!tick(clock.getAsLong(), idle.getAsBoolean())) {
        Thread.sleep(POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Does what is due and returns whether the process may end. */
  boolean tick(long nowMillis, boolean idle) {
    if (accepting && nowMillis >= stopAcceptingAt) {
      accepting = false;
      drain.stopAccepting();
    }
    return (idle && drain.isDone()) || nowMillis >= endAt;
  }
}
