package org.hemlockpick.cell;

/**
 * Limits of the requests of callers.
 *
 * @param maxHeaderBytes largest head of a request
 * @param maxBodyBytes largest body of a request
 * @param headerTimeoutMillis longest time from the first byte of a head to its last
 * @param idleTimeoutMillis longest time that a connection may be without a request
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits where the operator has set none. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 262_144, 3_000, 15_000);

  /** Returns the same limits with another limit of a body. */
  public RequestLimits withMaxBodyBytes(int bytes) {
    return new RequestLimits(maxHeaderBytes, bytes, headerTimeoutMillis, idleTimeoutMillis);
  }
}
