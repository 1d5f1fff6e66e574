package org.hemlockpick.cell;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Runs {@link HolderChangeFuzzTest} with as many new seeds as asked. Its name keeps it out of the
 * build; {@code bin/fuzz} runs it.
 */
class FreshHolderChangeFuzz {
  @Property
  void faultsAroundAChangeOfHolderDoNoHarm(
      @ForAll CellFaults.Kind kind, @ForAll long seed, @ForAll boolean isLeaseLong) {
    new HolderChangeFuzzTest().play(kind, seed, leaseMillis(isLeaseLong));
  }

  @Property
  void unusualJobsAroundAChangeOfHolderDoNoHarm(
      @ForAll UnusualJobs.Kind kind, @ForAll long seed, @ForAll boolean isLeaseLong) {
    new HolderChangeFuzzTest().play(kind, seed, leaseMillis(isLeaseLong));
  }

  private static long leaseMillis(boolean isLeaseLong) {
    return isLeaseLong ? 10_000 : CellWorld.LEASE_MILLIS;
  }
}
