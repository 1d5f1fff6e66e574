package org.hemlockpick.daemon;

import java.time.Instant;
import java.time.InstantSource;

/** Counts on from the wall clock's time at the start and never goes back or jumps. */
final class MonotonicClock implements InstantSource {
  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
