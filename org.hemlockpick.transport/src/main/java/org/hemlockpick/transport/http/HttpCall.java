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
 */
@SuppressWarnings("ArrayRecordComponent") // Only read; a copy of each body would cost time.
public record HttpCall(
    Method method,
    String path,
    ImmutableMap<String, String> headers,
    byte[] body,
    long timeoutMillis) {

  /** Methods of calls. */
  public enum Method {
    /** Fetches. */
    GET,
    /** Sends a body. */
    POST
  }

  /** Returns a call without headers and body. */
  public static HttpCall get(String path, long timeoutMillis) {
    return new HttpCall(Method.GET, path, ImmutableMap.of(), new byte[0], timeoutMillis);
  }

  /** Returns a call with a body and without headers. */
  public static HttpCall post(String path, byte[] body, long timeoutMillis) {
    return new HttpCall(Method.POST, path, ImmutableMap.of(), body, timeoutMillis);
  }
}
