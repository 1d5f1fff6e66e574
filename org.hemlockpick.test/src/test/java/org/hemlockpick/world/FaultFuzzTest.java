package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Runs random faults against entry instances under load and asks the oracle for breaches. */
class FaultFuzzTest {

  @Property(tries = 60, seed = "20261204")
  void nothingIsBreachedUnderRandomFaults(
      @ForAll(supplier = Steps.class) List<Step> steps, @ForAll long worldSeed) {
    Scenario scenario = new Scenario(worldSeed);
    assertEquals(
        List.of(), scenario.run(steps), () -> String.join("\n", scenario.world.newestEvents()));
  }
}
