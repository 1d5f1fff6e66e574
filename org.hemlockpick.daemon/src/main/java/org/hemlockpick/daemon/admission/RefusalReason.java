package org.hemlockpick.daemon.admission;

/** Why a request was refused or a connection closed. */
public enum RefusalReason {
  /** The head, with the empty lines before it, is too large. */
  HEAD_TOO_LARGE,
  /** The head was not complete in time. */
  HEAD_TOO_SLOW,
  /** The request is not valid HTTP. */
  MALFORMED,
  /** A body for a path that takes none. */
  PATH,
  /** The body is larger than the limit. */
  BODY_TOO_LARGE,
  /** The body was not complete in time. */
  BODY_TOO_SLOW,
  /** The body declares more bytes than are left. */
  BODY_NOT_ADMITTED,
  /** The incomplete request was dropped, as its bytes were needed for another one. */
  BYTES_RECLAIMED,
  /** The bytes read behind a request were dropped. */
  PIPELINED_BYTES,
  /** No request came in time. */
  IDLE,
  /** The caller did not take the response in time. */
  RESPONSE_NOT_TAKEN,
  /** The connection was closed for a newer one. */
  CONNECTIONS
}
