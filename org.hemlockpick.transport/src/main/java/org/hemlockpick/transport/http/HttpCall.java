package org.hemlockpick.transport.http;

import com.google.common.collect.ImmutableMap;

/**
 * A call over HTTP.
 *
 * @param method method
 * @param path path at the endpoint with its query, starting with a slash
 * @param headers headers besides those of the body
 * @param body body in JSON; empty for none
 * @param timeoutMillis time until the call counts as lost
 * @param timeoutScope what the time limit counts
 */
@SuppressWarnings("ArrayRecordComponent") // Only read; a copy of each body would cost time.
public record HttpCall(
    Method method,
    String path,
    ImmutableMap<String, String> headers,
    byte[] body,
    long timeoutMillis,
    TimeoutScope timeoutScope) {

  /** Methods of calls. */
  public enum Method {
    /** Fetches. */
    GET,
    /** Sends a body. */
    POST
  }

  /** What a time limit counts. */
  public enum TimeoutScope {
    /** The time from the call to the end of its answer. */
    TOTAL,
    /** The time in which nothing of the answer came, however long all of it takes. */
    IDLE
  }

  /** Creates a call whose time limit counts the whole of it. */
  public HttpCall(
      Method method,
      String path,
      ImmutableMap<String, String> headers,
      byte[] body,
      long timeoutMillis) {
    this(method, path, headers, body, timeoutMillis, TimeoutScope.TOTAL);
  }

  /** Returns a call without headers and body. */
  public static HttpCall get(String path, long timeoutMillis) {
    return new HttpCall(Method.GET, path, ImmutableMap.of(), new byte[0], timeoutMillis);
  }

  /**
   * Returns a call without headers and body, whose answer may be large.
   *
   * @param idleTimeoutMillis time without any part of the answer after which the call counts as
   *     lost
   */
  public static HttpCall getLarge(String path, long idleTimeoutMillis) {
    return new HttpCall(
        Method.GET, path, ImmutableMap.of(), new byte[0], idleTimeoutMillis, TimeoutScope.IDLE);
  }

  /** Returns a call with a body and without headers. */
  public static HttpCall post(String path, byte[] body, long timeoutMillis) {
    return new HttpCall(Method.POST, path, ImmutableMap.of(), body, timeoutMillis);
  }
}
