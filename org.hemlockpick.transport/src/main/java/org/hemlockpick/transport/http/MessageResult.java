package org.hemlockpick.transport.http;

import org.hemlockpick.proto.CallFate;

/**
 * What became of a call.
 *
 * @param fate ANSWERED only for a whole answer with status 200
 * @param body body of the answer; empty unless answered
 * @param clock Lamport clock of the answer; 0 when it has none
 */
record MessageResult(CallFate fate, String body, long clock) {
  static MessageResult notSent() {
    return new MessageResult(CallFate.NOT_SENT, "", 0);
  }

  static MessageResult lost(long clock) {
    return new MessageResult(CallFate.LOST, "", clock);
  }

  boolean isAnswered() {
    return fate == CallFate.ANSWERED;
  }
}
