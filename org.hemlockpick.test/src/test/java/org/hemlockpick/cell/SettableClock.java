package org.hemlockpick.cell;

/** A clock that is set by a test. */
final class SettableClock implements LoopClock {
  /** Time on both clocks, in milliseconds. */
  long millis;

  @Override
  public long monotonicMillis() {
    return millis;
  }

  @Override
  public long wallMillis() {
    return millis;
  }
}
