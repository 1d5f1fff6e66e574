package org.hemlockpick.world;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.LongUnaryOperator;

/** Prints how long time-bounded operations take in virtual time, over ten scenarios each. */
public final class Timings {
  private static final int SCENARIOS = 10;
  private static final long LIMIT_MILLIS = 60_000;
  private static final String WORKER = "worker0-0";

  private Timings() {}

  /** Runs all series. */
  public static void main(String[] args) {
    print("silent connection replaced", Timings::silentConnection);
    print("urgent task started", Timings::urgentStart);
    print("accepted contract in force everywhere", Timings::inForce);
    print("worker of a dead entry instance taken over", Timings::takeover);
    print("planned stop complete", Timings::plannedStop);
  }

  private static void print(String name, LongUnaryOperator series) {
    List<Long> took = new ArrayList<>();
    for (long seed = 1; seed <= SCENARIOS; seed++) {
      took.add(series.applyAsLong(seed));
    }
    Collections.sort(took);
    System.out.println(
        name
            + ", ms: least "
            + took.get(0)
            + ", median "
            + took.get(SCENARIOS / 2)
            + ", greatest "
            + took.get(SCENARIOS - 1));
  }

  private static long silentConnection(long seed) {
    World world = Scenario.underLoad(seed).world;
    WorkerNode worker = world.worker(WORKER);
    String holder = world.holders(WORKER).get(0);
    worker.silentFor.addAll(world.entries.keySet());
    return world.await(() -> !worker.silentFor.contains(holder), LIMIT_MILLIS);
  }

  private static long urgentStart(long seed) {
    Scenario scenario = Scenario.underLoad(seed);
    World world = scenario.world;
    scenario.callers.submitUrgent(world.entry("zone0-0"), 1);
    return world.await(() -> world.oracle.taskStarts == 1, LIMIT_MILLIS);
  }

  private static long inForce(long seed) {
    Scenario scenario = Scenario.underLoad(seed);
    World world = scenario.world;
    long base = scenario.revisionOf("lanternhall");
    long exchange =
        scenario.callers.apply(
            world.entry("zone0-0"), "lanternhall", Contracts.lanternhall(5), base);
    world.await(() -> scenario.codeOf(exchange) >= 0, LIMIT_MILLIS);
    long version = scenario.revisionOf("lanternhall");
    return world.await(
        () -> world.entries.values().stream().allMatch(node -> node.configVersion() >= version),
        LIMIT_MILLIS);
  }

  private static long takeover(long seed) {
    World world = Scenario.underLoad(seed).world;
    world.entry(world.holders(WORKER).get(0)).kill();
    return world.await(() -> world.holders(WORKER).size() == 1, LIMIT_MILLIS);
  }

  private static long plannedStop(long seed) {
    World world = Scenario.underLoad(seed).world;
    EntryNode node = world.entry("zone0-0");
    node.stop();
    return world.await(node::isStopped, LIMIT_MILLIS);
  }
}
