package org.hemlockpick.internal.request;

/** Lists the states of a request at one entry instance. */
enum RequestState {
  /** The idempotency key is being recorded; nothing was sent. */
  RECORDING,
  /** Waits for a worker; not running anywhere under this entry instance. */
  WAITING,
  /** Sent to a worker. */
  SENT,
  /** The answer of a non-idempotent request was lost; the worker is asked whether it ran. */
  FENCING,
  /** Sent to a peer. */
  FORWARDED,
  /** Answered. */
  FINISHED
}
