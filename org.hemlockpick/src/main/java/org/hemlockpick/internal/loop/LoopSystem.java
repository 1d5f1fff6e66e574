package org.hemlockpick.internal.loop;

/** A part of the event loop that runs once in every tick. */
public interface LoopSystem {

  /**
   * Does the work that is due.
   *
   * @param now time of the tick in milliseconds on the loop's clock
   */
  void run(long now);
}
