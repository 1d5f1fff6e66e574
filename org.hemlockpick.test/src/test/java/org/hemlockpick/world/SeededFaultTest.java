package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that the oracle detects the breach when the platform violates a guarantee. */
class SeededFaultTest {
  private static final int SCENARIOS = 40;
  private static final int STEPS = 12;

  @ParameterizedTest
  @EnumSource(SeededFault.class)
  void oracleSeesWhatTheFaultBreaks(SeededFault fault) {
    List<String> breaches = new ArrayList<>();
    boolean isSeen = false;
    for (long seed = 1; seed <= SCENARIOS && !isSeen; seed++) {
      Scenario scenario = new Scenario(seed);
      scenario.world.conditions.seededFault = fault;
      breaches.addAll(scenario.run(steps(seed)));
      isSeen = breaches.stream().anyMatch(breach -> breach.contains(fault.breach));
    }
    assertTrue(isSeen, () -> fault + " was not seen: " + breaches);
  }

  /** Guards against breaches that are put down to the fault and come without it. */
  @Test
  void sameScenariosWithoutFaultBreakNothing() {
    List<String> breaches = new ArrayList<>();
    for (long seed = 1; seed <= SCENARIOS; seed++) {
      breaches.addAll(new Scenario(seed).run(steps(seed)));
    }
    assertEquals(List.of(), breaches);
  }

  private static List<Step> steps(long seed) {
    Random random = new Random(seed);
    Step.Kind[] kinds = Step.Kind.values();
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      Step.Kind kind = kinds[random.nextInt(kinds.length)];
      steps.add(new Step(kind, random.nextInt(100), random.nextInt(5_000)));
    }
    return steps;
  }
}
