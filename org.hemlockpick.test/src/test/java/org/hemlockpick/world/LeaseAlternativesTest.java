package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Compares leases kept by workers with two rejected alternatives: in the store and by majority. */
class LeaseAlternativesTest {
  private static final String WORKER = "worker0-0";
  private static final String ZONE = "zone0";
  private static final long WARM_UP_MILLIS = 10_000;
  private static final long OUTAGE_MILLIS = 60_000;
  private static final long SAMPLE_MILLIS = 50;

  /** Timeout of the peer's heartbeats plus expiry of its lease, one after the other. */
  private static final long TAKEOVER_BOUND_MILLIS = 8_000;

  /** Milliseconds in which nobody could use the worker: with its own lease, and with the model. */
  private record Gaps(long chosen, long model) {}

  @Test
  void leaseInTheStoreExpiresWhileTheStoreIsDown() {
    Scenario scenario = Scenario.underLoad(41);
    StoreLeaseModel model = new StoreLeaseModel(scenario.world, WORKER);
    assertHeldAfterWarmUp(scenario.world, model::isHeld);

    scenario.world.conditions.storeDown = true;
    Gaps gaps = measure(scenario.world, model::isHeld);

    assertEquals(0, gaps.chosen());
    assertTrue(gaps.model() >= OUTAGE_MILLIS - StoreLeaseModel.TTL_MILLIS, gaps.toString());
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void deadHolderIsNotReplacedWhileTheStoreWithTheLeaseIsDown() {
    Scenario scenario = Scenario.underLoad(42);
    World world = scenario.world;
    StoreLeaseModel model = new StoreLeaseModel(world, WORKER);
    assertHeldAfterWarmUp(world, model::isHeld);

    world.conditions.storeDown = true;
    world.entry(world.holders(WORKER).get(0)).kill();
    Gaps gaps = measure(world, model::isHeld);

    assertTrue(gaps.chosen() <= TAKEOVER_BOUND_MILLIS, gaps.toString());
    assertTrue(gaps.model() >= OUTAGE_MILLIS - StoreLeaseModel.TTL_MILLIS, gaps.toString());
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void zoneThatIsCutOffLosesItsLeaseInTheStore() {
    Scenario scenario = Scenario.underLoad(43);
    World world = scenario.world;
    StoreLeaseModel model = new StoreLeaseModel(world, WORKER);
    assertHeldAfterWarmUp(world, model::isHeld);
    int doneBefore = world.oracle.done;

    world.conditions.cutZones.add(ZONE);
    Gaps gaps = measure(world, model::isHeld);

    assertEquals(0, gaps.chosen());
    assertTrue(gaps.model() >= OUTAGE_MILLIS - StoreLeaseModel.TTL_MILLIS, gaps.toString());
    assertTrue(world.oracle.done > doneBefore, "requests go on");
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void lastEntryInstanceOfThreeGetsNoMajority() {
    Scenario scenario = Scenario.underLoad(44);
    World world = scenario.world;
    MajorityLeaseModel model = new MajorityLeaseModel(world, ZONE);
    assertHeldAfterWarmUp(world, model::isHeld);

    world.entry("zone0-0").kill();
    world.entry("zone0-1").kill();
    Gaps gaps = measure(world, model::isHeld);

    assertEquals(List.of("zone0-2"), world.holders(WORKER));
    assertTrue(gaps.chosen() <= TAKEOVER_BOUND_MILLIS, gaps.toString());
    assertTrue(gaps.model() >= OUTAGE_MILLIS - MajorityLeaseModel.TTL_MILLIS, gaps.toString());
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void majoritySurvivesOneDeadEntryInstance() {
    Scenario scenario = Scenario.underLoad(45);
    World world = scenario.world;
    MajorityLeaseModel model = new MajorityLeaseModel(world, ZONE);
    assertHeldAfterWarmUp(world, model::isHeld);

    world.entry("zone0-0").kill();
    Gaps gaps = measure(world, model::isHeld);

    assertTrue(gaps.model() <= TAKEOVER_BOUND_MILLIS, gaps.toString());
    assertEquals(List.of(), scenario.finish());
  }

  private static void assertHeldAfterWarmUp(World world, BooleanSupplier modelIsHeld) {
    world.time.runFor(WARM_UP_MILLIS);
    assertEquals(1, world.holders(WORKER).size());
    assertTrue(modelIsHeld.getAsBoolean());
  }

  private static Gaps measure(World world, BooleanSupplier modelIsHeld) {
    long chosen = 0;
    long model = 0;
    for (long passed = 0; passed < OUTAGE_MILLIS; passed += SAMPLE_MILLIS) {
      world.time.runFor(SAMPLE_MILLIS);
      chosen += world.holders(WORKER).isEmpty() ? SAMPLE_MILLIS : 0;
      model += modelIsHeld.getAsBoolean() ? 0 : SAMPLE_MILLIS;
    }
    return new Gaps(chosen, model);
  }
}
