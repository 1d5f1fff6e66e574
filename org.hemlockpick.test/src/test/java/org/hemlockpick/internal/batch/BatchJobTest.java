package org.hemlockpick.internal.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.JobView;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.TaskPhase;
import org.junit.jupiter.api.Test;

/** Tests jobs through the calls of their customers. */
class BatchJobTest {

  @Test
  void aJobRunsToCompletion() {
    BatchWorld world = new BatchWorld(3, 4, 4_000);
    String job = world.submit(BatchWorld.spec(100, 1_000));
    world.untilState(job, "finished", 60_000);
    JobView view = world.query(job);
    assertEquals(100, view.getDone());
    assertEquals(100, view.getResultsCount());
    assertEquals(ByteString.copyFromUtf8("r42"), view.getResults(42));
    assertEquals(100, world.log.starts());
    world.run(3_000);
    world.instances.values().forEach(instance -> assertEquals(10_000, instance.quota.free()));
    world.workers.values().forEach(worker -> assertTrue(worker.model().tasks().isEmpty()));
  }

  @Test
  void aRepeatedSubmissionReturnsTheFirstJob() {
    BatchWorld world = new BatchWorld(2, 2, 4_000);
    JobSpec spec = BatchWorld.spec(10, 1_000);
    long first = world.sendSubmit("e1", BatchWorld.CUSTOMER, "night-7", spec);
    long second = world.sendSubmit("e2", BatchWorld.CUSTOMER, "night-7", spec);
    long other = world.sendSubmit("e1", BatchWorld.CUSTOMER, "night-7", BatchWorld.spec(11, 1_000));
    String job = world.answer(first).getJob().getJob();
    assertEquals(ResultCode.DONE, world.code(second));
    assertEquals(job, world.answer(second).getJob().getJob());
    assertEquals(ResultCode.BAD_REQUEST, world.code(other));
    world.untilState(job, "finished", 30_000);
    assertEquals(10, world.log.starts());
  }

  @Test
  void aSubmissionWhoseAnswerWasLostIsAcceptedOnce() {
    BatchWorld world = new BatchWorld(1, 2, 4_000);
    world.store.lostReplies = call -> call.hasTransaction();
    long exchange = world.sendSubmit("e1", BatchWorld.CUSTOMER, "", BatchWorld.spec(5, 1_000));
    world.run(1_000);
    world.store.lostReplies = call -> false;
    assertEquals(ResultCode.DONE, world.code(exchange));
    world.untilState(world.answer(exchange).getJob().getJob(), "finished", 30_000);
    assertEquals(5, world.log.starts());
  }

  @Test
  void aSubmissionDuringAnOutageReportsWhetherItsOutcomeIsKnown() {
    BatchWorld world = new BatchWorld(1, 1, 4_000);
    world.store.lostCalls = call -> true;
    long first = world.sendSubmit("e1", BatchWorld.CUSTOMER, "", BatchWorld.spec(5, 1_000));
    assertEquals(ResultCode.OUTCOME_UNKNOWN, world.code(first));
    long second = world.sendSubmit("e1", BatchWorld.CUSTOMER, "", BatchWorld.spec(5, 1_000));
    assertEquals(ResultCode.STORE_UNREACHABLE, world.code(second));
  }

  @Test
  void aLargeJobIsWrittenInSeveralTransactions() {
    BatchWorld world = new BatchWorld(2, 2, 4_000);
    JobSpec spec = BatchWorld.spec(64 * 64 + 10, 1_000);
    long first = world.sendSubmit("e1", BatchWorld.CUSTOMER, "large", spec);
    String job = world.answer(first).getJob().getJob();
    world.run(500);
    assertEquals(65, world.shardRows().size());
    assertEquals(64 * 64 + 10, world.rows().size());
    long cancel = world.sendCancel("e2", BatchWorld.CUSTOMER, job);
    assertEquals(ResultCode.DONE, world.code(cancel));
    world.until("all shards finished", 30_000, () -> world.shardRows().isEmpty());
  }

  @Test
  void whatTheContractDoesNotGrantIsRefused() {
    BatchWorld world = new BatchWorld(1, 1, 4_000);
    JobSpec spec = BatchWorld.spec(101, 1_000);
    JobSpec urgent = BatchWorld.spec(1, 1_000).toBuilder().setUrgent(true).build();
    JobSpec huge = BatchWorld.spec(1, 5_000);
    assertEquals(ResultCode.OVER_LIMIT, world.code(world.sendSubmit("e1", "lamps", "", spec)));
    assertEquals(ResultCode.BAD_REQUEST, world.code(world.sendSubmit("e1", "lamps", "", urgent)));
    assertEquals(ResultCode.JOB_NEVER_FITS, world.code(world.sendSubmit("e1", "lamps", "", huge)));
    assertEquals(
        ResultCode.NOT_AUTHENTICATED, world.code(world.sendSubmit("e1", "nobody", "", spec)));
  }

  @Test
  void onlyTheCustomerSeesItsJob() {
    BatchWorld world = new BatchWorld(1, 1, 4_000);
    String job = world.submit(BatchWorld.spec(2, 1_000));
    assertEquals(ResultCode.UNKNOWN_JOB, world.code(world.sendQuery("e1", "lamps", job)));
    assertEquals(ResultCode.UNKNOWN_JOB, world.code(world.sendCancel("e1", "lamps", job)));
    world.untilState(job, "finished", 20_000);
  }

  @Test
  void cancellingAJobOfHundredsOfTasksCostsFewTransactions() {
    BatchWorld world = new BatchWorld(2, 4, 4_000);
    world.workers.values().forEach(worker -> worker.runMillis = 600_000);
    String job = world.submit(BatchWorld.spec(600, 1_000));
    world.until("tasks running", 20_000, () -> world.runningTasks() == 16);
    world.run(2_000);
    long before = world.store.table.transactions();
    assertEquals(ResultCode.DONE, world.code(world.sendCancel("e1", BatchWorld.CUSTOMER, job)));
    world.until("all shards finished", 20_000, () -> world.shardRows().isEmpty());
    assertTrue(world.store.table.transactions() - before <= 16);
    assertEquals(0, world.runningTasks());
    JobView view = world.query(job);
    assertEquals("cancelled", view.getState());
    assertEquals(600, view.getCancelled());
    int starts = world.log.starts();
    world.run(20_000);
    assertEquals(starts, world.log.starts());
  }

  @Test
  void aJobThatFailsEverywhereIsParkedWithAReason() {
    BatchWorld world = new BatchWorld(2, 4, 4_000);
    world.workers.values().forEach(worker -> worker.completionPhase = ref -> TaskPhase.TASK_FAILED);
    String job = world.submit(BatchWorld.spec(12, 1_000));
    world.untilState(job, "finished", 120_000);
    JobView view = world.query(job);
    assertEquals(12, view.getParked());
    assertTrue(view.getReason().contains("failed 3 times, on workers"), view.getReason());
    assertTrue(world.events.stream().noneMatch(e -> e.getKind().equals("worker-quarantined")));
  }

  @Test
  void aWorkerThatFailsEverythingIsQuarantined() {
    BatchWorld world = new BatchWorld(1, 4, 4_000);
    FakeWorker broken = world.worker("w1");
    broken.completionPhase = ref -> TaskPhase.TASK_FAILED;
    broken.runMillis = 100;
    for (int i = 0; i < 6; i++) {
      world.submit(BatchWorld.spec(40, 1_000));
    }
    world.until("quarantine", 60_000, () -> world.hasEvent("worker-quarantined", "w1"));
    world.run(3_000);
    int tried = broken.checkpoints.size();
    world.until("all jobs finished", 120_000, () -> world.shardRows().isEmpty());
    assertEquals(tried, broken.checkpoints.size());
    assertEquals(6 * 40 + tried, world.log.starts());
  }

  @Test
  void noMoreTasksRunThanTheCustomerHasUnits() {
    BatchWorld world = new BatchWorld(1, 2, 4_000);
    FakeQuota quota = world.instance("e1").quota;
    quota.limit(3);
    String job = world.submit(BatchWorld.spec(10, 1_000));
    world.until("three running", 20_000, () -> world.runningTasks() == 3);
    while (!world.shardRows().isEmpty()) {
      world.step();
      assertTrue(world.runningTasks() <= 3);
    }
    world.untilState(job, "finished", 1_000);
    assertEquals(3, quota.free());
  }

  @Test
  void noStartIsRefusedForLackOfCapacity() {
    BatchWorld world = new BatchWorld(2, 3, 4_000);
    world.submit(BatchWorld.spec(60, 700));
    world.submit(BatchWorld.spec(20, 2_500));
    world.submit(BatchWorld.spec(30, 1_100));
    world.until("all jobs finished", 120_000, () -> world.shardRows().isEmpty());
    assertEquals(110, world.log.starts());
    world.workers.values().forEach(worker -> assertEquals(0, worker.refusedStarts));
  }

  @Test
  void anUrgentJobGoesFirstAndCustomersShareTheRest() {
    BatchWorld world = new BatchWorld(1, 1, 4_000);
    String large = world.submit(BatchWorld.spec(64, 1_000));
    long lamps = world.sendSubmit("e1", "lamps", "", BatchWorld.spec(64, 1_000));
    String other = world.answer(lamps).getJob().getJob();
    String urgent = world.submit(BatchWorld.spec(8, 1_000).toBuilder().setUrgent(true).build());
    world.untilState(urgent, "finished", 20_000);
    assertTrue(world.done(large) + world.done(other) <= 16);
    world.until("half of the job", 60_000, () -> world.done(large) >= 32);
    assertTrue(Math.abs(world.done(large) - world.done(other)) <= 8);
  }

  @Test
  void shardsOfAnAbandonedSubmissionAreSweptAndItsLateWriteHasNoEffect() {
    BatchWorld world = new BatchWorld(1, 1, 4_000);
    world.store.lateCalls = BatchJobTest::writesJob;
    JobSpec spec = BatchWorld.spec(64 * 64 + 1, 1_000);
    long exchange = world.sendSubmit("e1", BatchWorld.CUSTOMER, "broken", spec);
    assertEquals(ResultCode.OUTCOME_UNKNOWN, world.code(exchange));
    assertEquals(65, world.shardRows().size());
    world.run(1_500_000);
    assertEquals(0, world.shardRows().size());
    world.store.lateCalls = call -> false;
    world.store.applyLate();
    assertEquals(0, world.shardRows().size());
    long again = world.sendSubmit("e1", BatchWorld.CUSTOMER, "broken", spec);
    assertEquals(ResultCode.DONE, world.code(again));
    assertEquals(65, world.shardRows().size());
  }

  private static boolean writesJob(StoreCall call) {
    return call.getTransaction().getWritesList().stream()
        .anyMatch(write -> write.getTable().equals(TableNames.JOBS));
  }

  @Test
  void aTaskStartCostsLessThanHalfATransaction() {
    BatchWorld world = new BatchWorld(3, 40, 8_000);
    String job = world.submit(BatchWorld.spec(6_000, 1_000));
    long before = world.store.table.transactions();
    world.untilState(job, "finished", 120_000);
    long transactions = world.store.table.transactions() - before;
    assertEquals(6_000, world.log.starts());
    double perStart = (double) transactions / world.log.starts();
    System.out.printf("transactions per task start: %.4f%n", perStart);
    assertTrue(perStart < 0.5, () -> perStart + " transactions for each start");
  }
}
