package org.hemlockpick.internal.request;

/**
 * Limits retries to a fraction of the first attempts, so that retries cannot multiply the load of
 * an outage.
 */
final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAX_TOKENS = 20;

  private double tokens = MAX_TOKENS;

  void creditRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST);
  }

  boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
