package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Injects random faults into entry instances under load; the oracle must see no breach. */
class FaultFuzzTest {

  @Property(tries = 60, seed = "20261204")
  void nothingIsBreachedUnderRandomFaults(
      @ForAll(supplier = Steps.class) List<Step> steps, @ForAll long worldSeed) {
    Scenario scenario = new Scenario(worldSeed);
    assertEquals(
        List.of(), scenario.run(steps), () -> String.join("\n", scenario.world.newestEvents()));
  }
}
