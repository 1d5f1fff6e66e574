package org.hemlockpick.process;

import org.hemlockpick.errors.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a request.
 *
 * @param port port of the entry instance
 * @param startNanos {@link System#nanoTime} just before the request is sent
 * @param code result; null if there was no complete response
 * @param detail the response or the connection error
 */
record Attempt(int port, long startNanos, @Nullable ResultCode code, String detail) {
  /** Returns whether a caller has no reason to retry the request. */
  boolean isFinal(boolean idempotent) {
    if (code == null || isNotRun() || code == ResultCode.IN_PROGRESS) {
      return false;
    }
    return !idempotent || code == ResultCode.DONE;
  }

  boolean isNotRun() {
    return code != null && code.effect() == ResultCode.Effect.NOT_RUN;
  }
}
