package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Runs as many scenarios with new seeds as asked. Its name keeps it out of the build; {@code
 * bin/fuzz} runs it.
 */
class FreshFuzz {

  @Property
  void nothingIsBreachedUnderFreshFaults(
      @ForAll(supplier = Steps.class) List<Step> steps, @ForAll long worldSeed) {
    Scenario scenario = new Scenario(worldSeed);
    assertEquals(
        List.of(), scenario.run(steps), () -> String.join("\n", scenario.world.newestEvents()));
  }
}
