package org.hemlockpick.daemon.admission;

import org.hemlockpick.cell.RequestLimits;

/**
 * Limits on callers that the settings of a process may lower. Times are in milliseconds.
 *
 * @param bodyBytesInFlight bytes of all requests that a process holds
 * @param connections open connections of callers
 * @param headerBytes largest head of a request
 * @param headerTimeoutMillis longest time from the first byte of a head to its last
 * @param idleTimeoutMillis longest time that a connection may be without a request
 * @param bodyTimeoutMillis longest time from the end of a head to the end of its body
 * @param responseTimeoutMillis longest time that a caller may take for a response
 */
public record AdmissionSettings(
    long bodyBytesInFlight,
    int connections,
    int headerBytes,
    long headerTimeoutMillis,
    long idleTimeoutMillis,
    long bodyTimeoutMillis,
    long responseTimeoutMillis) {

  private static final long MIN_BUDGET_BYTES = 4L * 1024 * 1024;
  private static final int BUDGET_SHARE_OF_HEAP = 4;

  /** Limits of a process whose settings lower none. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(
          Long.MAX_VALUE,
          Integer.MAX_VALUE,
          Integer.MAX_VALUE,
          Long.MAX_VALUE,
          Long.MAX_VALUE,
          30_000,
          10_000);

  /** Returns the byte budget of a process with a maximum heap. */
  long budgetBytes(long maxHeapBytes) {
    return Math.min(
        bodyBytesInFlight, Math.max(MIN_BUDGET_BYTES, maxHeapBytes / BUDGET_SHARE_OF_HEAP));
  }

  /** Returns limits of requests, lowered to these settings. */
  RequestLimits lower(RequestLimits limits) {
    return new RequestLimits(
        Math.min(headerBytes, limits.maxHeaderBytes()),
        limits.maxBodyBytes(),
        Math.min(headerTimeoutMillis, limits.headerTimeoutMillis()),
        Math.min(idleTimeoutMillis, limits.idleTimeoutMillis()));
  }
}
