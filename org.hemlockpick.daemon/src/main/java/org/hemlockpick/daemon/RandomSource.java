package org.hemlockpick.daemon;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Creates the random generator of a loop from a seed, so that a recorded run can be replayed. */
final class RandomSource {
  private static final String ALGORITHM = "L64X128MixRandom";

  private RandomSource() {}

  static RandomGenerator of(long seed) {
    return RandomGeneratorFactory.of(ALGORITHM).create(seed);
  }
}
