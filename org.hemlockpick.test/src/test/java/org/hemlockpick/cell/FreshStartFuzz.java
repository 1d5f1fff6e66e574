package org.hemlockpick.cell;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Runs {@link StartFuzzTest} with as many new seeds as asked. Its name keeps it out of the build;
 * {@code bin/fuzz} runs it.
 */
class FreshStartFuzz {
  @Property
  void whatCanRunIsStartedAfterFreshFaults(@ForAll long seed, @ForAll boolean isLeaseLong) {
    new StartFuzzTest().play(seed, isLeaseLong ? 10_000 : CellWorld.LEASE_MILLIS);
  }
}
