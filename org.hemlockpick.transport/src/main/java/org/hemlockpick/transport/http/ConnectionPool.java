package org.hemlockpick.transport.http;

import io.micronaut.http.client.StreamingHttpClient;

/**
 * The connections to one address that were opened since the last reset. A retired pool takes no new
 * calls and is closed when the last call on it has ended.
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
