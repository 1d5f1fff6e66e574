package org.hemlockpick.internal.request;

/** Identifies who waits for the answer to a request. */
sealed interface Origin {

  /**
   * A caller of this entry instance.
   *
   * @param exchange number of the caller's exchange with the daemon
   */
  record Caller(long exchange) implements Origin {}

  /**
   * A peer that forwarded the request.
   *
   * @param peer name of the peer
   * @param incarnation incarnation of the peer
   * @param forwardId id of the forward at the peer
   */
  record Forwarded(String peer, long incarnation, long forwardId) implements Origin {}
}
