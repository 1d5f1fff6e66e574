package org.hemlockpick.internal.request;

/** Describes the state of a request at one entry instance. */
enum RequestState {
  /** The idempotency key is being recorded; nothing has been sent. */
  RECORDING,
  /** Waiting for a worker; not running anywhere on behalf of this entry instance. */
  WAITING,
  /** Sent to a worker. */
  SENT,
  /** The reply to a non-idempotent request was lost; the worker is asked whether it ran. */
  FENCING,
  /** Forwarded to a peer. */
  FORWARDED,
  /** Answered. */
  FINISHED
}
