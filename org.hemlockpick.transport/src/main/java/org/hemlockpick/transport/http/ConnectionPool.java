package org.hemlockpick.transport.http;

import io.micronaut.http.client.StreamingHttpClient;

/**
 * The connections to one destination that were opened since the last reset. Once retired, they take
 * no new call and are closed when the last call on them has ended.
 */
final class ConnectionPool {
  private final StreamingHttpClient client;
  private int inFlight;
  private boolean retired;

  ConnectionPool(StreamingHttpClient client) {
    this.client = client;
  }

  StreamingHttpClient client() {
    return client;
  }

  synchronized void acquire() {
    inFlight++;
  }

  void release() {
    boolean idle;
    synchronized (this) {
      inFlight--;
      idle = retired && inFlight == 0;
    }
    if (idle) {
      client.close();
    }
  }

  void retire() {
    boolean idle;
    synchronized (this) {
      idle = !retired && inFlight == 0;
      retired = true;
    }
    if (idle) {
      client.close();
    }
  }
}
