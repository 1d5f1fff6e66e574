package org.hemlockpick.daemon.admission;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the open sockets of callers as they are accepted. A burst is accepted faster than older
 * connections are closed for it, and must not take the descriptors that are kept for others.
 */
final class AcceptLimit {
  private final int limit;
  private final AtomicInteger open = new AtomicInteger();

  AcceptLimit(int limit) {
    this.limit = limit;
  }

  /** Counts a socket; returns false and does not count it if there are too many. */
  boolean tryOpen() {
    if (open.incrementAndGet() <= limit) {
      return true;
    }
    open.decrementAndGet();
    return false;
  }

  void onClosed() {
    open.decrementAndGet();
  }
}
