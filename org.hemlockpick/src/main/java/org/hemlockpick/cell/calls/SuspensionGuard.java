package org.hemlockpick.cell.calls;

/**
 * Tells when the calls that a process reads may have been sent long before, as the process was
 * suspended. A submission that is so old must not be stored: the tombstone of its cancellation may
 * have been removed meanwhile.
 *
 * <p>Times are in milliseconds. The monotonic clock may stop while the process is suspended, the
 * wall clock does not.
 */
public final class SuspensionGuard {
  /** Longest suspension after which calls may still be handled. */
  public static final long MAX_MILLIS = 30_000;

  /** Time after a suspension in which calls are read that were sent before or during it. */
  static final long READ_MILLIS = 2_000;

  private boolean ticked;
  private long lastMonotonic;
  private long lastWall;
  private long staleUntil = Long.MIN_VALUE;

  /** Records that the process runs. */
  public void onTick(long monotonicMillis, long wallMillis) {
    if (isGap(monotonicMillis, wallMillis)) {
      staleUntil = monotonicMillis + READ_MILLIS;
    }
    ticked = true;
    lastMonotonic = monotonicMillis;
    lastWall = wallMillis;
  }

  /** Returns whether a call that is handled now may have been sent before a long suspension. */
  public boolean mayBeStale(long monotonicMillis, long wallMillis) {
    return monotonicMillis < staleUntil || isGap(monotonicMillis, wallMillis);
  }

  private boolean isGap(long monotonicMillis, long wallMillis) {
    long gap = Math.max(monotonicMillis - lastMonotonic, wallMillis - lastWall);
    return ticked && gap > MAX_MILLIS;
  }
}
