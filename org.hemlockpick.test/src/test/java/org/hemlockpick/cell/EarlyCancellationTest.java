package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.cell.calls.SuspensionGuard;
import org.hemlockpick.cell.calls.Tombstones;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.Test;

/** Tests jobs that are canceled before their submission is stored. */
class EarlyCancellationTest {
  private static final long SETTLE_MILLIS = 3_000;

  /** Time after which a write without an answer is applied, in milliseconds. */
  private static final long LATE_MILLIS = 5_800;

  /** Time for which a caller waits, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1_000;

  /** Time within which a job that may run is started, in milliseconds. */
  private static final long START_MILLIS = 20_000;

  /** Time within which expired rows are removed, in milliseconds. */
  private static final long SWEEP_MILLIS = 11_000;

  private static final long LONG_MILLIS = 600_000;
  private static final String CALLER = "caller";

  private final CellWorld world = new CellWorld(20261206, 3, 3);

  EarlyCancellationTest() {
    world.time.runFor(SETTLE_MILLIS);
  }

  /** Submits a job that runs until it is canceled, once; returns the results so far. */
  private List<ResultCode> submit(int node, String id) {
    Step step = CellWorld.step(1, false, null, 0, true, List.of());
    Submission job = CellWorld.job(id, world.time.millis(), step);
    world.workers.expect(job);
    world.workers.runMillisByJob.put(id, LONG_MILLIS);
    List<ResultCode> results = new ArrayList<>();
    CellMember process = world.nodes.get(node).process();
    process.submit(job, TIMEOUT_MILLIS, reply -> results.add(reply.code()));
    return results;
  }

  /** Cancels a job, once; returns the results so far. */
  private List<ResultCode> beginCancel(int node, String id, String caller) {
    List<ResultCode> results = new ArrayList<>();
    CellMember process = world.nodes.get(node).process();
    process.cancel(
        CellWorld.address(id), caller, TIMEOUT_MILLIS, reply -> results.add(reply.code()));
    return results;
  }

  private ResultCode cancel(int node, String id) {
    List<ResultCode> results = beginCancel(node, id, CALLER);
    world.time.runFor(TIMEOUT_MILLIS);
    return results.get(0);
  }

  private void assertNeverRuns(String id) {
    world.time.runFor(START_MILLIS);
    assertEquals(List.of(), world.workers.starts);
    assertEquals(JobState.CANCELED, world.state(id));
  }

  /** Guards against a job that starts for good after its cancellation was acknowledged. */
  @Test
  void submissionThatTheStoreAppliesAfterItsCancellationNeverRuns() {
    world.store.lateMillis = LATE_MILLIS;
    List<ResultCode> results = submit(0, "a");
    world.time.runFor(TIMEOUT_MILLIS);
    assertEquals(List.of(ResultCode.OUTCOME_UNKNOWN), results);
    world.store.lateMillis = 0;
    assertEquals(ResultCode.UNKNOWN_JOB, cancel(1, "a"));
    assertNeverRuns("a");
  }

  /** Guards against the same where an instance that stood still handles a call long after it. */
  @Test
  void submissionThatAnInstanceStoresAfterItsCancellationNeverRuns() {
    assertEquals(ResultCode.UNKNOWN_JOB, cancel(1, "a"));
    List<ResultCode> results = submit(0, "a");
    world.time.runFor(TIMEOUT_MILLIS);
    assertEquals(List.of(ResultCode.DONE), results);
    assertNeverRuns("a");
  }

  /** Guards against a cancellation that only the holder which is lost knew. */
  @Test
  void submissionThatIsStoredAfterItsCancellationNeverRunsUnderTheNextHolder() {
    assertEquals(ResultCode.UNKNOWN_JOB, cancel(1, "a"));
    CellWorld.Node holder = world.holder();
    holder.kill();
    world.time.runFor(SETTLE_MILLIS);
    assertNotEquals(holder, world.holder());
    submit((world.nodes.indexOf(holder) + 1) % 3, "a");
    assertNeverRuns("a");
  }

  /** Guards against an acknowledgement though the job was stored after the call looked for it. */
  @Test
  void jobThatIsStoredWhileItsCancellationLooksForItIsCanceled() {
    for (int lead = 0; lead < 5 * FakeStore.LATENCY_MILLIS; lead++) {
      String id = "a" + lead;
      List<ResultCode> results = beginCancel(1, id, CALLER);
      world.time.runFor(lead);
      submit(0, id);
      world.time.runFor(START_MILLIS);
      assertEquals(1, results.size());
      assertNotEquals(ResultCode.OUTCOME_UNKNOWN, results.get(0));
      assertFalse(world.workers.isRunning(new TaskId(id, 0, 0, 0)), id);
      assertEquals(JobState.CANCELED, world.state(id));
    }
  }

  /** Guards against an acknowledgement of a cancellation that may not have been stored. */
  @Test
  void cancellationWhoseTombstoneHasNoAnswerIsNotAcknowledged() {
    world.store.lateMillis = LATE_MILLIS;
    assertEquals(ResultCode.OUTCOME_UNKNOWN, cancel(1, "a"));
  }

  /** Guards against a write for a caller who gave up while the instance was paused. */
  @Test
  void retryThatIsDueAfterTheDeadlineStoresNothing() {
    CellWorld.Node node = world.nodes.get(0);
    node.storeView.turnsAway = true;
    List<ResultCode> results = submit(0, "a");
    world.time.runFor(2 * FakeStore.LATENCY_MILLIS);
    assertEquals(List.of(), results);
    node.storeView.turnsAway = false;
    node.pause(4_000);
    world.time.runFor(4_000 + TIMEOUT_MILLIS);
    assertEquals(List.of(ResultCode.STORE_UNREACHABLE), results);
    CallerReply reply = world.ask(CellWorld.address("a"));
    assertEquals(CallerReply.of(ResultCode.UNKNOWN_JOB), reply);
  }

  /** Guards against a submission that outlives the tombstone of its cancellation. */
  @Test
  void submissionThatMayBeOldIsNotStored() {
    CellWorld.Node node = world.nodes.get(0);
    node.suspend(SuspensionGuard.MAX_MILLIS + 1_000);
    world.time.runFor(SuspensionGuard.MAX_MILLIS + 1_000);
    assertEquals(List.of(ResultCode.NOT_READY), submit(0, "a"));
    world.time.runFor(100);
    assertEquals(List.of(ResultCode.NOT_READY), submit(0, "a"));
    world.time.runFor(SETTLE_MILLIS);
    List<ResultCode> results = submit(0, "a");
    world.time.runFor(TIMEOUT_MILLIS);
    assertEquals(List.of(ResultCode.DONE), results);
  }

  /** Guards against tombstones that are removed too soon, or never. */
  @Test
  void tombstoneIsKeptForItsTimeSinceTheNewestCancellation() {
    cancel(1, "a");
    world.time.runFor(Tombstones.KEPT_MILLIS / 2);
    cancel(2, "a");
    world.time.runFor(Tombstones.KEPT_MILLIS - SWEEP_MILLIS);
    submit(0, "a");
    assertNeverRuns("a");
    cancel(1, "b");
    assertEquals(1, tombstones());
    world.time.runFor(Tombstones.KEPT_MILLIS + SWEEP_MILLIS);
    assertEquals(0, tombstones());
    submit(0, "b");
    world.time.runFor(START_MILLIS);
    assertTrue(world.workers.isRunning(new TaskId("b", 0, 0, 0)));
  }

  private long tombstones() {
    return world.holder().metrics().gauge("jobs.tombstones");
  }

  /** Guards against callers who keep others from canceling by canceling what is not there. */
  @Test
  void callerWhoCancelsManyUnknownJobsKeepsNobodyFromCanceling() {
    for (int i = 0; i < 2_000; i++) {
      beginCancel(1, "flood" + i, "flooder");
      world.time.runFor(5);
    }
    assertEquals(List.of(ResultCode.OVERLOADED), settled(beginCancel(1, "last", "flooder")));
    assertEquals(List.of(ResultCode.UNKNOWN_JOB), settled(beginCancel(1, "a", CALLER)));
    submit(0, "a");
    assertNeverRuns("a");
    world.time.runFor(Tombstones.KEPT_MILLIS + SWEEP_MILLIS);
    assertEquals(0, tombstones());
  }

  private List<ResultCode> settled(List<ResultCode> results) {
    world.time.runFor(TIMEOUT_MILLIS);
    return results;
  }
}
