package org.hemlockpick.transport.http;

import org.hemlockpick.proto.CallFate;

/**
 * What became of a call over HTTP.
 *
 * @param fate ANSWERED for a whole answer with any status
 * @param status status of the answer; 0 unless answered
 * @param body body of the answer; empty unless answered
 * @param clock Lamport clock of the answer; 0 when it has none
 */
@SuppressWarnings("ArrayRecordComponent") // Only read; a copy of each body would cost time.
public record HttpResult(CallFate fate, int status, byte[] body, long clock) {
  static HttpResult notSent() {
    return new HttpResult(CallFate.NOT_SENT, 0, new byte[0], 0);
  }

  static HttpResult lost() {
    return new HttpResult(CallFate.LOST, 0, new byte[0], 0);
  }

  /** Tells whether the call was answered with success. */
  public boolean isOk() {
    return fate == CallFate.ANSWERED && status == 200;
  }
}
