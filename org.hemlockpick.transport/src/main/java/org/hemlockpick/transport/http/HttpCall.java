package org.hemlockpick.transport.http;

import com.google.common.collect.ImmutableMap;

/**
 * An HTTP call.
 *
 * @param method HTTP method
 * @param path path with its query, starting with a slash
 * @param headers headers in addition to those of the body
 * @param body body in JSON; empty for none
 * @param timeoutMillis time until the call counts as lost
 * @param timeoutScope time that the timeout limits
 */
@SuppressWarnings("ArrayRecordComponent") // Never modified; copying each body would cost time.
public record HttpCall(
    Method method,
    String path,
    ImmutableMap<String, String> headers,
    byte[] body,
    long timeoutMillis,
    TimeoutScope timeoutScope) {

  /** HTTP methods. */
  public enum Method {
    /** Fetches a resource. */
    GET,
    /** Sends a body. */
    POST
  }

  /** Time that a timeout limits. */
  public enum TimeoutScope {
    /** The time from the call to the end of its response. */
    TOTAL,
    /** The time in which no data of the response arrives, whatever its total time. */
    IDLE
  }

  /** Creates a call whose timeout limits its total time. */
  public HttpCall(
      Method method,
      String path,
      ImmutableMap<String, String> headers,
      byte[] body,
      long timeoutMillis) {
    this(method, path, headers, body, timeoutMillis, TimeoutScope.TOTAL);
  }

  /** Returns a GET call without headers. */
  public static HttpCall get(String path, long timeoutMillis) {
    return new HttpCall(Method.GET, path, ImmutableMap.of(), new byte[0], timeoutMillis);
  }

  /**
   * Returns a GET call without headers whose response may be large.
   *
   * @param idleTimeoutMillis time without data of the response after which the call counts as lost
   */
  public static HttpCall getLarge(String path, long idleTimeoutMillis) {
    return new HttpCall(
        Method.GET, path, ImmutableMap.of(), new byte[0], idleTimeoutMillis, TimeoutScope.IDLE);
  }

  /** Returns a POST call without headers. */
  public static HttpCall post(String path, byte[] body, long timeoutMillis) {
    return new HttpCall(Method.POST, path, ImmutableMap.of(), body, timeoutMillis);
  }
}
