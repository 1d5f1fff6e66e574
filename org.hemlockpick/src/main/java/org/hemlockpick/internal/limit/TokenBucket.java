package org.hemlockpick.internal.limit;

/** Limits a rate: tokens accrue up to those of one second and each event takes one. */
final class TokenBucket {
  private static final double MILLIS_PER_SECOND = 1_000;

  private double perSecond;
  private double tokens;
  private long refilledAt;

  TokenBucket(double perSecond, long now) {
    this.perSecond = perSecond;
    tokens = burst();
    refilledAt = now;
  }

  boolean tryAcquire(double perSecond, long now) {
    refill(now);
    this.perSecond = perSecond;
    tokens = Math.min(tokens, burst());
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  private void refill(long now) {
    tokens += perSecond * Math.max(0, now - refilledAt) / MILLIS_PER_SECOND;
    refilledAt = now;
  }

  private double burst() {
    return Math.max(1, perSecond);
  }
}
