package org.hemlockpick.transport.http;

import org.hemlockpick.proto.CallFate;

/**
 * Result of an HTTP call.
 *
 * @param fate ANSWERED for a complete response with any status
 * @param status status of the response; 0 unless answered
 * @param body body of the response; empty unless answered
 * @param clock Lamport clock of the response; 0 if it has none
 */
@SuppressWarnings("ArrayRecordComponent") // Never modified; copying each body would cost time.
public record HttpResult(CallFate fate, int status, byte[] body, long clock) {
  static HttpResult notSent() {
    return new HttpResult(CallFate.NOT_SENT, 0, new byte[0], 0);
  }

  static HttpResult lost() {
    return new HttpResult(CallFate.LOST, 0, new byte[0], 0);
  }

  /** Returns whether the response has status 200. */
  public boolean isOk() {
    return fate == CallFate.ANSWERED && status == 200;
  }
}
