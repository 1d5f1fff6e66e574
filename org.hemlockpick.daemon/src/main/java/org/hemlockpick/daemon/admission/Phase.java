package org.hemlockpick.daemon.admission;

import org.hemlockpick.cell.RequestLimits;
import org.jspecify.annotations.Nullable;

/** What a connection of a caller is doing. */
enum Phase {
  /** No byte of a request has arrived since the last response. */
  IDLE(RefusalReason.IDLE),
  /** The head of a request is incomplete. */
  HEAD(RefusalReason.HEAD_TOO_SLOW),
  /** The body of a request is incomplete. */
  BODY(RefusalReason.BODY_TOO_SLOW),
  /** A request is complete and has no response yet. */
  SERVING(null),
  /** A response is being sent. */
  RESPONSE(RefusalReason.RESPONSE_NOT_TAKEN),
  /** The connection was refused; what still arrives is discarded. */
  REFUSED(null);

  /** Time to take a refusal before a connection is closed, in milliseconds. */
  private static final long REFUSAL_MILLIS = 1_000;

  /** Time without end, which can be added to a time. */
  private static final long NEVER = Long.MAX_VALUE / 2;

  private final @Nullable RefusalReason timeout;

  Phase(@Nullable RefusalReason timeout) {
    this.timeout = timeout;
  }

  /** Returns the reason for which a connection is closed after the time of this phase. */
  @Nullable RefusalReason timeout() {
    return timeout;
  }

  /** Returns whether a request has begun that is not complete. */
  boolean isIncomplete() {
    return this == HEAD || this == BODY || this == REFUSED;
  }

  /** Returns the longest time in this phase, in milliseconds. */
  long maxMillis(RequestLimits limits, AdmissionSettings settings) {
    long millis =
        switch (this) {
          case IDLE -> limits.idleTimeoutMillis();
          case HEAD -> limits.headerTimeoutMillis();
          case BODY -> settings.bodyTimeoutMillis();
          case SERVING -> NEVER;
          case RESPONSE -> settings.responseTimeoutMillis();
          case REFUSED -> REFUSAL_MILLIS;
        };
    return Math.min(millis, NEVER);
  }
}
