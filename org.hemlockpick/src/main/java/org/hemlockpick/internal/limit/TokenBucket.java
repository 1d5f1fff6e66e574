package org.hemlockpick.internal.limit;

/** Limits a rate: tokens grow with time up to those of one second and each event takes one. */
final class TokenBucket {
  private static final double MILLIS_PER_SECOND = 1_000;

  private double perSecond;
  private double tokens;
  private long filledAt;

  TokenBucket(double perSecond, long now) {
    this.perSecond = perSecond;
    tokens = burst();
    filledAt = now;
  }

  boolean tryTake(double perSecond, long now) {
    fill(now);
    this.perSecond = perSecond;
    tokens = Math.min(tokens, burst());
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  private void fill(long now) {
    tokens += perSecond * Math.max(0, now - filledAt) / MILLIS_PER_SECOND;
    filledAt = now;
  }

  private double burst() {
    return Math.max(1, perSecond);
  }
}
