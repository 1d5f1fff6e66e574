package org.hemlockpick.fakes;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that runs at its own rate and offset relative to virtual time. */
public final class DriftingClock implements InstantSource {
  private final InstantSource time;
  private final long start;
  private final long offset;
  private final double rate;

  /**
   * Creates a clock.
   *
   * @param time virtual time
   * @param offset difference to virtual time at creation, in milliseconds
   * @param rate milliseconds of this clock for each virtual millisecond
   */
  public DriftingClock(InstantSource time, long offset, double rate) {
    this.time = time;
    this.start = time.millis();
    this.offset = offset;
    this.rate = rate;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public long millis() {
    return start + offset + (long) ((time.millis() - start) * rate);
  }
}
