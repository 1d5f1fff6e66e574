package org.hemlockpick.process;

import org.hemlockpick.errors.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * One sending of a request.
 *
 * @param port port of the entry instance
 * @param startNanos {@link System#nanoTime} just before the sending
 * @param code result; null if there was no whole answer
 * @param detail the answer or the fault of the connection
 */
record Attempt(int port, long startNanos, @Nullable ResultCode code, String detail) {
  /** Tells whether a caller has no reason to send the request again. */
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
