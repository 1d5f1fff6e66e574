package org.hemlockpick.internal.loop;

/** Runs once in every tick over the tables that it works on. */
public interface LoopSystem {

  /**
   * Does the work that is due.
   *
   * @param now time of the tick in milliseconds on the loop's clock
   */
  void run(long now);
}
