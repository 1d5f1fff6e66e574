package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.Test;

/** Checks that an accepted contract is in force everywhere within the bound and never reverts. */
class ConfigurationTest {
  private static final long IN_FORCE_BOUND_MILLIS = 7_000;

  @Test
  void acceptedChangeIsInForceEverywhereWithinTheBound() {
    Scenario scenario = Scenario.underLoad(41);

    long version = accept(scenario, "zone0-0", 1);

    assertInForce(scenario, version);
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void zoneCutOffFromThePlatformLearnsFromItsPeers() {
    Scenario scenario = Scenario.underLoad(42);
    scenario.world.conditions.cutFromPlatform.add("zone1");
    scenario.world.time.runFor(5_000);

    long version = accept(scenario, "zone0-0", 2);

    assertInForce(scenario, version);
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void changeSpreadsWhenTheStoreFailsRightAfterTheCommit() {
    Scenario scenario = Scenario.underLoad(43);
    long version = accept(scenario, "zone1-2", 3);
    scenario.world.conditions.storeDown = true;

    assertInForce(scenario, version);
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void instanceStartingInCutOffZoneServesWhatItsPeersHaveInForce() {
    Scenario scenario = Scenario.underLoad(44);
    World world = scenario.world;
    long version = accept(scenario, "zone0-0", 4);
    assertInForce(scenario, version);
    world.conditions.cutZones.add("zone1");
    EntryNode starter = world.entry("zone1-0");
    starter.kill();
    world.time.runFor(10_000);
    starter.restart();

    long took = world.await(starter::isReady, 60_000);

    assertTrue(took <= IN_FORCE_BOUND_MILLIS, "ready after " + took + " ms");
    assertEquals(version, starter.configVersion());
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void instanceStartingWithoutStoreAndPeersIsNotReady() {
    Scenario scenario = Scenario.underLoad(45);
    World world = scenario.world;
    world.conditions.cutZones.add("zone1");
    world.entry("zone1-0").kill();
    world.entry("zone1-1").kill();
    world.entry("zone1-2").kill();
    world.time.runFor(10_000);
    EntryNode starter = world.entry("zone1-0");
    starter.restart();
    world.time.runFor(30_000);
    assertTrue(!starter.isReady());

    world.conditions.cutZones.clear();
    long took = world.await(starter::isReady, 60_000);

    assertTrue(took <= IN_FORCE_BOUND_MILLIS, "ready after " + took + " ms");
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void exactlyOneOfOperatorsRacingFromOneBaseRevisionWins() {
    Scenario scenario = Scenario.underLoad(46);
    World world = scenario.world;
    long base = scenario.revisionOf("lanternhall");
    List<Long> exchanges =
        world.entries.values().stream()
            .map(
                node ->
                    scenario.callers.apply(
                        node, "lanternhall", Contracts.lanternhall(node.name.charAt(6)), base))
            .toList();

    world.time.runFor(15_000);

    List<Integer> codes = exchanges.stream().map(scenario::codeOf).toList();
    assertEquals(1, codes.stream().filter(code -> code == ResultCode.DONE.number()).count());
    assertEquals(
        exchanges.size() - 1L,
        codes.stream().filter(code -> code == ResultCode.CONTRACT_CONFLICT.number()).count());
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void lostAnswersOfTheStoreNeverHideOrDuplicateAnAcceptedChange() {
    Scenario scenario = Scenario.underLoad(47);
    World world = scenario.world;
    world.conditions.storeLosesAnswers = true;
    List<Long> exchanges =
        IntStream.range(0, 6)
            .mapToObj(
                i -> {
                  EntryNode node = world.entry("zone0-" + i % 3);
                  long base = scenario.revisionOf("lanternhall");
                  long exchange =
                      scenario.callers.apply(node, "lanternhall", Contracts.lanternhall(i), base);
                  world.time.runFor(12_000);
                  return exchange;
                })
            .toList();
    world.conditions.heal();
    world.time.runFor(10_000);

    long accepted =
        exchanges.stream().filter(e -> scenario.codeOf(e) == ResultCode.DONE.number()).count();
    long unknown =
        exchanges.stream()
            .filter(e -> scenario.codeOf(e) == ResultCode.OUTCOME_UNKNOWN.number())
            .count();
    long changes = world.entry("zone0-0").configVersion() - Scenario.FIRST_CONTRACTS;

    assertTrue(accepted <= changes && changes <= accepted + unknown, accepted + " of " + changes);
    assertEquals(List.of(), scenario.finish());
  }

  private static long accept(Scenario scenario, String node, int variant) {
    World world = scenario.world;
    long base = scenario.revisionOf("lanternhall");
    long exchange =
        scenario.callers.apply(
            world.entry(node), "lanternhall", Contracts.lanternhall(variant), base);
    world.await(() -> scenario.codeOf(exchange) >= 0, 10_000);
    assertEquals(ResultCode.DONE.number(), scenario.codeOf(exchange));
    return scenario.revisionOf("lanternhall");
  }

  private static void assertInForce(Scenario scenario, long version) {
    World world = scenario.world;
    long took =
        world.await(
            () -> world.entries.values().stream().allMatch(n -> n.configVersion() >= version),
            60_000);
    assertTrue(took <= IN_FORCE_BOUND_MILLIS, "in force everywhere after " + took + " ms");
  }
}
