package org.hemlockpick.daemon;

import java.time.Instant;
import java.time.InstantSource;

/** Keeps the same time for the whole of a tick, so that a recorded tick can be replayed. */
final class TickClock implements InstantSource {
  private volatile long millis;

  TickClock(long millis) {
    this.millis = millis;
  }

  void set(long millis) {
    this.millis = millis;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis);
  }

  @Override
  public long millis() {
    return millis;
  }
}
