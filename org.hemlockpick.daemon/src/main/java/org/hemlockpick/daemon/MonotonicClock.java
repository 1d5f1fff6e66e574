package org.hemlockpick.daemon;

import java.time.Instant;
import java.time.InstantSource;

/** Starts at the time of the wall clock and never goes back or jumps after that. */
final class MonotonicClock implements InstantSource {
  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
