package org.hemlockpick.transport.http;

import org.hemlockpick.proto.CallFate;

/**
 * Result of a call with a message of the project.
 *
 * @param fate ANSWERED only for a complete response with status 200
 * @param body body of the response; empty unless answered
 * @param clock Lamport clock of the response; 0 if it has none
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
