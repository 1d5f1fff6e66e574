package org.hemlockpick.world;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ArbitrarySupplier;
import net.jqwik.api.Combinators;

/** Generates lists of steps, which shrink to fewer steps with shorter waits. */
final class Steps implements ArbitrarySupplier<List<Step>> {
  private static final int MAX_STEPS = 14;
  private static final int MAX_WAIT_MILLIS = 5_000;

  @Override
  public Arbitrary<List<Step>> get() {
    Arbitrary<Step> step =
        Combinators.combine(
                Arbitraries.of(Step.Kind.class),
                Arbitraries.integers().between(0, 99),
                Arbitraries.integers().between(0, MAX_WAIT_MILLIS))
            .as(Step::new);
    return step.list().ofMaxSize(MAX_STEPS);
  }
}
