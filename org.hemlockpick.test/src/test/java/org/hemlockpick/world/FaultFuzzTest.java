package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Runs random faults against entry instances under load and asks the oracle for breaches. */
class FaultFuzzTest {
  private static final int MAX_STEPS = 14;
  private static final int MAX_WAIT_MILLIS = 5_000;

  @Property(tries = 24, seed = "20261204")
  void nothingIsBreachedUnderRandomFaults(
      @ForAll("steps") List<Step> steps, @ForAll long worldSeed) {
    Scenario scenario = new Scenario(worldSeed);
    List<String> breaches = scenario.run(steps);
    assertEquals(List.of(), breaches, () -> String.join("\n", scenario.world.newestEvents()));
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Step> step =
        Combinators.combine(
                Arbitraries.of(Step.Kind.class),
                Arbitraries.integers().between(0, 99),
                Arbitraries.integers().between(0, MAX_WAIT_MILLIS))
            .as(Step::new);
    return step.list().ofMaxSize(MAX_STEPS);
  }
}
