package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/**
 * Spaces the orders to a worker that refuses starts for lack of capacity though its entry shows
 * enough. What needs at least as much as was refused is tried again after pauses that grow, one
 * order at a time.
 */
final class CapacityRefusals {
  private static final long FIRST_PAUSE_MILLIS = 250;

  /** Longest pause; a worker that has capacity again is used soon after. */
  private static final long MAX_PAUSE_MILLIS = 2_000;

  /** Smallest total of reservations that was refused last; null if none was. */
  private @Nullable ResourceAmounts refusedTotal;

  private long refusedAt = Long.MIN_VALUE;
  private long pause = FIRST_PAUSE_MILLIS;

  /**
   * Records that a start was refused.
   *
   * @param total reservations of all runs there with the refused one
   * @param sentAt time at which the order was sent
   */
  void onRefused(ResourceAmounts total, long sentAt, long nowMillis) {
    if (refusedTotal != null && sentAt > refusedAt) {
      pause = Math.min(MAX_PAUSE_MILLIS, 2 * pause);
    }
    refusedTotal = total;
    refusedAt = nowMillis;
  }

  /**
   * Records that a start was accepted.
   *
   * @param total reservations of all runs there with the accepted one
   */
  void onAccepted(ResourceAmounts total) {
    if (isAsLargeAsRefused(total)) {
      clear();
    }
  }

  /** Forgets all refusals, as the capacity has changed. */
  void clear() {
    refusedTotal = null;
    pause = FIRST_PAUSE_MILLIS;
  }

  /** Returns whether a start that reserves the wanted amounts is not to be tried now. */
  boolean rulesOut(Worker worker, ResourceAmounts wanted, long nowMillis) {
    return refusedTotal != null
        && isAsLargeAsRefused(worker.reserved().plus(wanted))
        && (nowMillis < refusedAt + pause || hasUnansweredStart(worker));
  }

  private boolean isAsLargeAsRefused(ResourceAmounts total) {
    return refusedTotal != null && refusedTotal.fitsInto(total);
  }

  private static boolean hasUnansweredStart(Worker worker) {
    return worker.runs().stream().anyMatch(run -> run.state() == Run.State.STARTING);
  }
}
