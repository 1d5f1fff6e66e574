package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.JobStateRecord;
import org.hemlockpick.proto.ProgressRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests jobs whose queue the configuration removes, changes or brings back while they are open. */
class RemovedQueueTest {
  private static final long CHANGE_MILLIS = 2_000;
  private static final long FINISH_MILLIS = 10_000;
  private static final long LONG_MILLIS = 600_000;
  private static final int MAX_ATTEMPTS = 3;
  private static final String OTHER_SERVICE = "laundry";

  private static final Queue TOPUP = CellWorld.DEFAULT_QUEUE;
  private static final Queue OTHER =
      CellWorld.queue("other", "/other/", CellWorld.SERVICE, MAX_ATTEMPTS);

  private final CellWorld world = new CellWorld(20261207, 2, 4);

  @BeforeEach
  void settle() {
    world.configure(TOPUP, OTHER);
    world.time.runFor(3_000);
  }

  @AfterEach
  void noInvariantIsViolated() {
    assertEquals(List.of(), world.workers.violations);
  }

  private static Submission job(String id, Queue queue, Step... steps) {
    return new Submission(id, queue.name(), "spec", List.of(steps), 0, 0, 0, 1);
  }

  private static Step longRunning(int count) {
    return CellWorld.step(count, false, null, 0, true, List.of());
  }

  /** Submits a job of two steps of two tasks, and runs until its first step runs. */
  private void submitTwoSteps(String id, Queue queue) {
    world.submit(0, job(id, queue, CellWorld.step(2), CellWorld.step(2, 0)));
    world.time.runFor(300);
    assertTrue(world.workers.isRunning(new TaskId(id, 0, 0, 0)));
  }

  private void configure(Queue... queues) {
    world.configure(queues);
    world.time.runFor(CHANGE_MILLIS);
  }

  private ResultCode code(Queue queue, String id) {
    CallerReply reply = world.ask(CellWorld.address(queue, id));
    return reply == null ? ResultCode.STORE_UNREACHABLE : reply.code();
  }

  private JobState storedState(String id) {
    return world
        .store
        .value("progress", id)
        .flatMap(JobRows::progress)
        .map(record -> JobRows.state(record.getState()))
        .orElse(JobState.QUEUED);
  }

  private Stream<String> workersOf(String job) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().job().equals(job))
        .map(FakeWorkers.Start::worker);
  }

  private boolean hasLogged(String text) {
    return world.log.stream().anyMatch(line -> line.contains(text));
  }

  private void cancel(Queue queue, String id, ResultCode expected) {
    List<ResultCode> codes = new ArrayList<>();
    JobAddress job = CellWorld.address(queue, id);
    world.nodes.get(1).process().cancel(job, "caller", 1_000, reply -> codes.add(reply.code()));
    world.time.runFor(1_500);
    assertEquals(List.of(expected), codes);
  }

  /** Guards against accepted work left half done for good when its queue is removed. */
  @Test
  void acceptedJobIsFinishedAfterItsQueueWasRemoved() {
    submitTwoSteps("a", TOPUP);
    configure(OTHER);
    world.time.runFor(FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state("a"));
  }

  /** Guards against a serving task that stays away because its queue is removed. */
  @Test
  void longRunningTaskOfARemovedQueueRunsAgainAfterItsWorkerIsLost() {
    TaskId task = new TaskId("l", 0, 0, 0);
    world.workers.runMillisByJob.put("l", LONG_MILLIS);
    world.submit(0, job("l", TOPUP, longRunning(1)));
    world.time.runFor(1_000);
    configure(OTHER);
    world.workers.get(workersOf("l").findFirst().orElseThrow()).crash();
    world.time.runFor(FINISH_MILLIS);
    assertTrue(world.workers.isRunning(task));
  }

  /** Guards against runs of a removed queue that fail without end. */
  @Test
  void tasksOfARemovedQueueFailAsOftenAsItAllowed() {
    world.workers.failureProbability = 1;
    world.workers.runMillis = 1_500;
    world.submit(0, job("a", OTHER, CellWorld.step(1)));
    world.time.runFor(200);
    configure(TOPUP);
    world.time.runFor(40_000);
    assertEquals(JobState.FAILED, world.state(CellWorld.address(OTHER, "a")));
    assertEquals(MAX_ATTEMPTS, workersOf("a").count());
  }

  /** Guards against an owner who can no longer ask for an accepted job, or cancel it. */
  @Test
  void ownerOfAJobOfARemovedQueueCanAskForAndCancelIt() {
    world.workers.runMillis = LONG_MILLIS;
    submitTwoSteps("a", TOPUP);
    configure(OTHER);
    assertEquals(JobState.RUNNING, world.state("a"));
    cancel(TOPUP, "a", ResultCode.DONE);
    assertFalse(world.workers.isRunning(new TaskId("a", 0, 0, 0)));
    assertEquals(JobState.CANCELED, world.state("a"));
    cancel(TOPUP, "a", ResultCode.DONE);
  }

  /** Guards against a removed queue that goes on serving callers. */
  @Test
  void removedQueueAcceptsNothingAndKnowsNoOtherJobs() {
    submitTwoSteps("a", OTHER);
    configure(OTHER);
    List<ResultCode> codes = new ArrayList<>();
    CellMember process = world.nodes.get(1).process();
    process.submit(job("b", TOPUP), 1_000, reply -> codes.add(reply.code()));
    assertEquals(List.of(ResultCode.UNKNOWN_SERVICE), codes);
    assertEquals(ResultCode.UNKNOWN_SERVICE, code(TOPUP, "b"));
    assertEquals(ResultCode.UNKNOWN_SERVICE, code(TOPUP, "a"));
    cancel(TOPUP, "a", ResultCode.UNKNOWN_SERVICE);
    world.time.runFor(FINISH_MILLIS);
    assertEquals(ResultCode.UNKNOWN_SERVICE, code(TOPUP, "a"));
    assertEquals(JobState.COMPLETED, world.state(CellWorld.address(OTHER, "a")));
  }

  /** Guards against a state or cancellation of a job at the path of another queue. */
  @Test
  void jobIsKnownAtThePathOfItsQueueOnly() {
    world.workers.runMillis = 4_000;
    submitTwoSteps("a", TOPUP);
    assertEquals(ResultCode.UNKNOWN_JOB, code(OTHER, "a"));
    cancel(OTHER, "a", ResultCode.UNKNOWN_JOB);
    world.time.runFor(2 * FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertEquals(ResultCode.UNKNOWN_JOB, code(OTHER, "a"));
  }

  /** Guards against work at a service to which the queue leads no more once it is back. */
  @Test
  void queueThatIsBackWithAnotherServiceIsUsedAsConfigured() {
    world.moveWorker("w3", OTHER_SERVICE);
    world.workers.runMillis = 5_000;
    submitTwoSteps("a", TOPUP);
    configure(OTHER);
    configure(OTHER, CellWorld.queue(CellWorld.QUEUE, "/topup/", OTHER_SERVICE, MAX_ATTEMPTS));
    world.time.runFor(2 * FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertEquals(List.of("w3", "w3"), workersOf("a").skip(2).toList());
  }

  /** Guards against attempts counted by the limit of a queue that is back with a lower one. */
  @Test
  void queueThatIsBackWithALowerLimitIsUsedAsConfigured() {
    world.workers.failureProbability = 1;
    world.workers.runMillis = 1_000;
    world.submit(0, job("a", TOPUP, CellWorld.step(1)));
    world.time.runFor(200);
    configure(OTHER);
    configure(OTHER, CellWorld.queue(CellWorld.QUEUE, "/topup/", CellWorld.SERVICE, 2));
    world.time.runFor(2 * FINISH_MILLIS);
    assertEquals(JobState.FAILED, world.state("a"));
    assertTrue(workersOf("a").count() < MAX_ATTEMPTS + 2);
  }

  /** Guards against an owner who is told of another queue that took over the path. */
  @Test
  void jobIsKnownThoughAnotherQueueHasItsPath() {
    submitTwoSteps("a", TOPUP);
    configure(CellWorld.queue("successor", "/topup/", CellWorld.SERVICE, MAX_ATTEMPTS));
    world.submit(0, new Submission("b", "successor", "s", List.of(CellWorld.step(1)), 0, 0, 0, 1));
    world.time.runFor(FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertEquals(JobState.COMPLETED, world.state("b"));
  }

  /** Guards against an owner whose path leads to a queue with a shorter prefix. */
  @Test
  void jobOfARemovedQueueIsKnownBelowAnotherQueue() {
    Queue nested = CellWorld.queue("nested", "/other/n/", CellWorld.SERVICE, MAX_ATTEMPTS);
    configure(TOPUP, OTHER, nested);
    submitTwoSteps("a", nested);
    configure(TOPUP, OTHER);
    assertNotNull(world.state(CellWorld.address(nested, "a")));
    assertEquals(ResultCode.UNKNOWN_JOB, code(OTHER, "a"));
    world.time.runFor(FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state(CellWorld.address(nested, "a")));
    assertEquals(ResultCode.UNKNOWN_JOB, code(nested, "b"));
  }

  /** Guards against a job that waits because of two changes in a row. */
  @Test
  void acceptedJobIsFinishedAfterTwoConfigurationsInARow() {
    submitTwoSteps("a", TOPUP);
    submitTwoSteps("b", OTHER);
    world.configure(OTHER);
    world.time.runFor(100);
    world.configure();
    world.time.runFor(FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertEquals(JobState.COMPLETED, world.state(CellWorld.address(OTHER, "b")));
  }

  /** Guards against a job that a lagging instance accepts after its holder has lost the queue. */
  @Test
  void jobAcceptedByAnInstanceThatLagsIsFinished() {
    CellWorld.Node lagging =
        world.nodes.stream().filter(node -> node != world.holder()).findFirst().orElseThrow();
    lagging.missesConfigurations = true;
    configure(OTHER);
    Submission job = job("a", TOPUP, CellWorld.step(2), CellWorld.step(2, 0));
    world.submit(world.nodes.indexOf(lagging), job);
    world.time.runFor(FINISH_MILLIS);
    assertEquals(1, world.acceptedJobs().size());
    assertEquals(JobState.COMPLETED, storedState("a"));
  }

  /** Guards against a job of a new queue that waits for its holder to learn of the queue. */
  @Test
  void jobOfAQueueThatTheHolderDoesNotKnowYetIsFinished() {
    CellWorld.Node holder = world.holder();
    CellWorld.Node other =
        world.nodes.stream().filter(node -> node != holder).findFirst().orElseThrow();
    holder.missesConfigurations = true;
    Queue added = CellWorld.queue("added", "/added/", CellWorld.SERVICE, MAX_ATTEMPTS);
    configure(TOPUP, OTHER, added);
    world.submit(
        world.nodes.indexOf(other), job("a", added, CellWorld.step(2), CellWorld.step(2, 0)));
    world.time.runFor(FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, storedState("a"));
  }

  /** Guards against a successor that does not know the terms of a removed queue. */
  @Test
  void nextHolderFinishesTheJobsOfARemovedQueue() {
    world.workers.runMillis = 4_000;
    submitTwoSteps("a", TOPUP);
    world.workers.runMillisByJob.put("l", LONG_MILLIS);
    world.submit(0, job("l", TOPUP, longRunning(1)));
    world.time.runFor(1_000);
    configure(OTHER);
    world.holder().kill();
    world.time.runFor(3 * FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state("a"));
    assertEquals(JobState.RUNNING, world.state("l"));
    assertTrue(world.workers.isRunning(new TaskId("l", 0, 0, 0)));
  }

  /** Guards against a job of an earlier version that waits for good, and one that fails early. */
  @Test
  void jobStoredWithoutTermsFailsOnceItsQueueStaysAway() {
    storeWithoutTerms(job("a", TOPUP, CellWorld.step(2), CellWorld.step(2, 0)));
    world.time.runFor(300);
    configure(OTHER);
    world.time.runFor(UnservedJobs.MAX_WAIT_MILLIS / 2);
    assertEquals(JobState.RUNNING, storedState("a"));
    world.time.runFor(UnservedJobs.MAX_WAIT_MILLIS);
    assertEquals(JobState.FAILED, storedState("a"));
    assertTrue(hasLogged("job a FAILED (queue topup was removed"));
  }

  /** Guards against a job of an earlier version that fails though its queue comes back. */
  @Test
  void jobStoredWithoutTermsIsFinishedWhenItsQueueIsBack() {
    storeWithoutTerms(job("a", TOPUP, CellWorld.step(2), CellWorld.step(2, 0)));
    world.time.runFor(300);
    for (int i = 0; i < 3; i++) {
      configure(OTHER);
      world.time.runFor(UnservedJobs.MAX_WAIT_MILLIS / 2);
      configure(OTHER, TOPUP);
    }
    world.time.runFor(FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state("a"));
  }

  private void storeWithoutTerms(Submission job) {
    world.workers.expect(job);
    Write write = new Write(JobRows.submission(job.id()), JobRows.encode(job));
    world
        .holder()
        .storeView
        .transact(
            new Transaction(JobRows.part("c0", job.id()), List.of(), List.of(write), List.of()),
            1_000,
            result -> {});
  }

  /** Guards against an answer that is withheld because an earlier version stored the end. */
  @Test
  void endThatAnEarlierVersionStoredIsKnown() {
    ByteString ended =
        ProgressRecord.newBuilder()
            .setFormat(JobRows.FORMAT)
            .setState(JobStateRecord.JOB_COMPLETED)
            .build()
            .toByteString();
    Write write = new Write(JobRows.progress("a"), ended);
    world
        .holder()
        .storeView
        .transact(new Transaction("c0", List.of(), List.of(write), List.of()), 1_000, result -> {});
    world.time.runFor(300);
    assertEquals(JobState.COMPLETED, world.state("a"));
    configure(OTHER);
    assertEquals(ResultCode.UNKNOWN_SERVICE, code(TOPUP, "a"));
  }

  /** Guards against a job that waits for good for a service that is gone with its queue. */
  @Test
  void jobFailsOnceItsServiceIsGoneWithItsQueue() {
    Queue gone = CellWorld.queue("gone", "/gone/", OTHER_SERVICE, MAX_ATTEMPTS);
    configure(TOPUP, gone);
    world.submit(0, job("a", gone, CellWorld.step(1)));
    configure(TOPUP);
    world.time.runFor(UnservedJobs.MAX_WAIT_MILLIS / 2);
    assertEquals(JobState.QUEUED, world.state(CellWorld.address(gone, "a")));
    world.time.runFor(UnservedJobs.MAX_WAIT_MILLIS);
    assertEquals(JobState.FAILED, world.state(CellWorld.address(gone, "a")));
    assertTrue(hasLogged("job a FAILED (queue gone and service laundry were removed"));
  }

  /** Guards against a job that fails though workers of its service are there. */
  @Test
  void jobIsFinishedByTheWorkersOfAServiceThatIsGone() {
    Queue gone = CellWorld.queue("gone", "/gone/", OTHER_SERVICE, MAX_ATTEMPTS);
    world.moveWorker("w3", OTHER_SERVICE);
    configure(TOPUP, gone);
    submitTwoSteps("a", gone);
    configure(TOPUP);
    world.time.runFor(FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state(CellWorld.address(gone, "a")));
    assertEquals(List.of("w3"), workersOf("a").distinct().toList());
  }

  /** Guards against jobs that fail because no configuration was read yet. */
  @Test
  void holderWithoutAConfigurationFailsNothing() {
    submitTwoSteps("a", TOPUP);
    for (CellWorld.Node node : world.nodes) {
      node.killAll();
      node.missesConfigurations = true;
      node.start();
    }
    world.time.runFor(2 * UnservedJobs.MAX_WAIT_MILLIS);
    assertNull(world.state("a"));
    assertEquals(JobState.RUNNING, storedState("a"));
    world.nodes.forEach(node -> node.missesConfigurations = false);
    configure(OTHER);
    world.time.runFor(FINISH_MILLIS);
    assertEquals(JobState.COMPLETED, world.state("a"));
  }
}
