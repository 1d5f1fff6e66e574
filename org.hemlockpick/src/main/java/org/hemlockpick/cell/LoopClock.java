package org.hemlockpick.cell;

/** Clocks of the loop. */
public interface LoopClock {
  /**
   * Returns the time of a monotonic clock in milliseconds; it may stop while the machine is
   * suspended.
   */
  long monotonicMillis();

  /** Returns the wall clock time in milliseconds since 1970; it may jump. */
  long wallMillis();
}
