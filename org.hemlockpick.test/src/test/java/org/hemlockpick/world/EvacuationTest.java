package org.hemlockpick.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.EvacuationView;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.TaskState;
import org.junit.jupiter.api.Test;

/** Checks that work avoids an evacuated availability zone and returns when that ends. */
class EvacuationTest {
  /** Time from the confirmation until all entry instances have polled and routed what waited. */
  private static final long IN_FORCE_MILLIS = 3_000;

  private static final long OBSERVED_MILLIS = 10_000;
  private static final long REFUSED_WITHIN_MILLIS = 100;
  private static final String ZONE = "zone0";

  @Test
  void requestsGoToOtherZonesAndReturnAfterTheEnd() {
    Scenario scenario = Scenario.underLoad(61);
    World world = scenario.world;
    evacuate(scenario, "zone1-0", false);
    int offersBefore = offers(world, ZONE);
    int doneBefore = world.oracle.done;

    world.time.runFor(OBSERVED_MILLIS);

    assertEquals(offersBefore, offers(world, ZONE));
    assertTrue(world.oracle.done > doneBefore, "requests are served elsewhere");
    evacuate(scenario, "zone0-0", true);
    world.time.runFor(OBSERVED_MILLIS);
    assertTrue(offers(world, ZONE) > offersBefore, "the zone serves again");
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void requestAtAnEvacuatedZoneIsServedByAnother() {
    Scenario scenario = new Scenario(62);
    World world = scenario.world;
    scenario.startWithContracts();
    evacuate(scenario, "zone0-0", false);

    long exchange = scenario.callers.sendTo(world.entry("zone0-1"));
    world.time.runFor(IN_FORCE_MILLIS);

    assertEquals(ResultCode.DONE, code(world, exchange));
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void requestIsRefusedAtOnceWhileAllZonesAreEvacuated() {
    Scenario scenario = new Scenario(63);
    World world = scenario.world;
    scenario.startWithContracts();
    evacuate(scenario, "zone0-0", false);
    change(scenario, "zone0-0", "zone1", false);

    long exchange = scenario.callers.sendTo(world.entry("zone1-0"));
    world.time.runFor(REFUSED_WITHIN_MILLIS);

    assertEquals(ResultCode.EVACUATED, code(world, exchange));
    assertEquals(ResultCode.Effect.NOT_RUN, ResultCode.EVACUATED.effect());
    assertEquals(List.of(), scenario.finish());
  }

  /**
   * Guards against tasks that are assigned, or that were assigned before and start when capacity
   * becomes free.
   */
  @Test
  void runningTasksGoOnAndNoOtherIsAssignedOrStarted() throws Exception {
    Scenario scenario = new Scenario(64);
    World world = scenario.world;
    scenario.startWithContracts();
    world.workers.values().forEach(worker -> worker.minRunMillis = 2 * OBSERVED_MILLIS);
    scenario.callers.submit(world.entry("zone0-0"), 60);
    world.time.runFor(2_500);
    evacuate(scenario, "zone1-0", false);
    int startsBefore = world.oracle.taskStarts;
    long assignedBefore = assignedTasks(world);
    assertTrue(startsBefore > 0 && assignedBefore > startsBefore, "some tasks wait for capacity");

    world.time.runFor(6 * OBSERVED_MILLIS);

    assertEquals(startsBefore, world.oracle.taskStarts);
    assertEquals(assignedBefore - startsBefore, assignedTasks(world));
    assertEquals(0, view(world, "zone0-0").getTasks());
    evacuate(scenario, "zone1-0", true);
    world.await(() -> world.openShards().isEmpty(), 300_000);
    assertEquals(0, world.oracle.resumes);
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void lastKnownStateAppliesWhileTheTableServiceIsDownAlsoAfterARestart() {
    Scenario scenario = Scenario.underLoad(65);
    World world = scenario.world;
    evacuate(scenario, "zone1-0", false);
    world.conditions.storeDown = true;
    int offersBefore = offers(world, ZONE);
    world.entry("zone0-0").restart();

    world.time.runFor(3 * OBSERVED_MILLIS);

    assertTrue(world.entry("zone0-0").isReady());
    assertEquals(offersBefore, offers(world, ZONE));
    world.conditions.storeDown = false;
    assertEquals(List.of(), scenario.finish());
  }

  @Test
  void statusNamesTheEvacuatedZone() {
    Scenario scenario = new Scenario(66);
    World world = scenario.world;
    scenario.startWithContracts();
    evacuate(scenario, "zone0-0", false);

    EvacuationView view = view(world, "zone1-2");

    assertEquals(List.of(ZONE, "operator"), List.of(view.getZone(), view.getOperator()));
    assertTrue(view.getSinceMillis() > 0);
  }

  private static void evacuate(Scenario scenario, String entry, boolean end) {
    change(scenario, entry, ZONE, end);
  }

  private static void change(Scenario scenario, String entry, String zone, boolean end) {
    World world = scenario.world;
    long exchange = scenario.callers.evacuate(world.entry(entry), zone, end);
    world.time.runFor(IN_FORCE_MILLIS);
    assertEquals(
        ResultCode.DONE.number(), world.answer(exchange).map(CallerAnswer::getCode).orElse(-1));
  }

  private static long assignedTasks(World world) throws InvalidProtocolBufferException {
    RowScan scan = RowScan.newBuilder().setTable("shards").setLimit(1_000).build();
    StoreCall call = StoreCall.newBuilder().setScan(scan).build();
    long assigned = 0;
    for (Row row : world.table.handle(call).getRowsList()) {
      assigned +=
          ShardRecord.parseFrom(row.getValue()).getTasksList().stream()
              .filter(task -> task.getState() == TaskState.ASSIGNED)
              .count();
    }
    return assigned;
  }

  private static int offers(World world, String zone) {
    return world.workers.values().stream()
        .filter(worker -> worker.zone.equals(zone))
        .mapToInt(worker -> worker.offers)
        .sum();
  }

  private static EvacuationView view(World world, String entry) {
    return world.entry(entry).status().getEvacuations(0);
  }

  private static ResultCode code(World world, long exchange) {
    Oracle.Exchange sent = world.oracle.exchange(exchange);
    return ResultCode.of(sent == null ? -1 : sent.code);
  }
}
