package org.hemlockpick.cell;

/** Tells the time to the loop. */
public interface LoopClock {
  /** Returns milliseconds of a steady clock; it may stand still while the machine is suspended. */
  long monotonicMillis();

  /** Returns the time of day in milliseconds since 1970; it may jump. */
  long wallMillis();
}
