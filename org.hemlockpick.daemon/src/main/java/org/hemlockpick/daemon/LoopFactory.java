package org.hemlockpick.daemon;

import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.hemlockpick.lib.InstanceSettings;

/** Creates the loop of an entry instance. */
@FunctionalInterface
interface LoopFactory {

  /**
   * Creates a loop in its initial state.
   *
   * @param settings settings of the entry instance
   * @param incarnation number of this start
   * @param clock source of time
   * @param random source of random numbers
   */
  Loop create(
      InstanceSettings settings, long incarnation, InstantSource clock, RandomGenerator random);
}
