package org.hemlockpick.internal.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Random;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskState;
import org.junit.jupiter.api.Test;

/**
 * Injects faults into entry instances, workers and the table service while jobs run. The world
 * fails a test as soon as an attempt starts twice or a task runs on two workers.
 */
class BatchFailureTest {

  @Test
  void lostAnswersAfterTheCommitChangeNothing() {
    BatchWorld world = new BatchWorld(2, 3, 4_000);
    Random random = new Random(11);
    world.store.lostReplies = call -> random.nextInt(3) == 0;
    long exchange = world.sendSubmit("e1", BatchWorld.CUSTOMER, "k", BatchWorld.spec(60, 1_000));
    String job = world.answer(exchange).getJob().getJob();
    world.until("all shards finished", 240_000, () -> world.shardRows().isEmpty());
    world.store.lostReplies = call -> false;
    assertEquals(60, world.query(job).getDone());
    assertEquals(60, world.log.starts());
  }

  @Test
  void writesThatTakeEffectLateChangeNothing() {
    BatchWorld world = new BatchWorld(3, 3, 4_000);
    world.workers.values().forEach(worker -> worker.runMillis = 3_000);
    String job = world.submit(BatchWorld.spec(60, 1_000));
    Random random = new Random(5);
    for (int round = 0; round < 12; round++) {
      world.store.lateCalls = call -> call.hasTransaction() && random.nextInt(3) == 0;
      world.run(2_000);
      world.store.lateCalls = call -> false;
      world.store.applyLate();
      world.run(1_000);
    }
    world.untilState(job, "finished", 120_000);
    assertEquals(60, world.query(job).getDone());
    assertEquals(60, world.log.starts());
  }

  @Test
  void aHolderThatDiesBetweenCommitAndStartIsReplaced() {
    BatchWorld world = new BatchWorld(3, 3, 4_000);
    world.workers.values().forEach(worker -> worker.lostCalls = call -> call.hasTaskStart());
    String job = world.submit(BatchWorld.spec(64, 1_000));
    world.until("tasks assigned", 20_000, () -> count(world, TaskState.ASSIGNED) > 0);
    String holder = world.shardRows().get(0).getHolder();
    world.kill(holder);
    world.workers.values().forEach(worker -> worker.lostCalls = call -> false);
    world.untilState(job, "finished", 120_000);
    assertEquals(64, world.log.starts());
  }

  @Test
  void aReplacedIncarnationTakesItsShardsOver() {
    BatchWorld world = new BatchWorld(1, 2, 4_000);
    String job = world.submit(BatchWorld.spec(40, 1_000));
    world.until("tasks running", 20_000, () -> world.runningTasks() > 0);
    world.kill("e1");
    world.start("e1");
    world.untilState(job, "finished", 60_000);
    assertEquals(40, world.log.starts());
  }

  @Test
  void theOwnerOfAWorkerChangesWhileTasksRun() {
    BatchWorld world = new BatchWorld(3, 3, 4_000);
    world.workers.values().forEach(worker -> worker.runMillis = 20_000);
    String job = world.submit(BatchWorld.spec(12, 1_000));
    world.until("all running", 20_000, () -> world.runningTasks() == 12);
    FakeInstance owner = world.owner("w1");
    owner.leave();
    world.until("handed over", 30_000, () -> owner.ownership.ownedWorkers(world.now()).isEmpty());
    world.untilState(job, "finished", 60_000);
    assertEquals(12, world.log.starts());
  }

  @Test
  void aPausedHolderAndOwnerStartsNoTaskTwiceAfterResuming() {
    BatchWorld world = new BatchWorld(3, 4, 4_000);
    world.workers.values().forEach(worker -> worker.runMillis = 2_500);
    String job = world.submit(BatchWorld.spec(200, 1_000));
    for (int round = 0; round < 3; round++) {
      world.run(2_000);
      FakeInstance owner = world.owner("w" + (round + 1));
      owner.paused = true;
      world.run(12_000);
      owner.paused = false;
    }
    world.untilState(job, "finished", 240_000);
    assertEquals(200, world.log.starts());
  }

  @Test
  void aResumedOwnerDoesNotRestartTasksThatAnotherRecordedAsDone() {
    BatchWorld world = new BatchWorld(2, 1, 4_000);
    world.worker("w1").runMillis = 5_000;
    String job = world.submit(BatchWorld.spec(4, 1_000));
    world.until("all running", 20_000, () -> world.runningTasks() == 4);
    FakeInstance previous = world.owner("w1");
    previous.paused = true;
    world.until("recorded by the other", 60_000, () -> world.shardRows().isEmpty());
    world.until("forgotten", 5_000, () -> world.worker("w1").model().tasks().isEmpty());
    world.kill(world.owner("w1").name);
    world.run(5_000);
    // Its connections broke and reads fail, so it cannot learn that another instance owned w1.
    previous.inputs.clear();
    world.store.lostCalls = StoreCall::hasRead;
    previous.paused = false;
    world.run(5_000);
    world.store.lostCalls = call -> false;
    world.run(15_000);
    assertEquals("w1", previous.ownership.ownedWorkers(world.now()).get(0).getWorker());
    assertEquals(4, world.log.starts());
    assertEquals(4, world.query(job).getDone());
  }

  @Test
  void aStopThatTwoOwnersRecordResumesOnceWithItsCheckpoint() {
    BatchWorld world = new BatchWorld(3, 1, 4_000);
    FakeWorker worker = world.worker("w1");
    worker.runMillis = 600_000;
    world.submit(BatchWorld.spec(4, 1_000));
    world.until("all running", 20_000, () -> worker.running().size() == 4);
    List<TaskRef> first = worker.running();
    first.forEach(ref -> worker.model().checkpoint(ref, "cp" + ref.getIndex()));
    FakeInstance owner = world.owner("w1");
    // The worker stops its tasks; the owner is suspended while its write of the stop is in flight.
    world.store.lateCalls = StoreCall::hasTransaction;
    first.forEach(ref -> worker.model().finishTask(ref, TaskPhase.TASK_STOPPED, ByteString.EMPTY));
    world.run(1_500);
    owner.paused = true;
    world.store.lateCalls = call -> false;
    world.run(3_000);
    world.store.applyLate();
    world.until("resumed", 60_000, () -> worker.running().size() == 4);
    owner.paused = false;
    world.run(20_000);
    assertEquals(8, world.log.starts());
    for (TaskRef ref : worker.running()) {
      assertEquals(2, ref.getAttempt());
      assertEquals("cp" + ref.getIndex(), worker.checkpoints.get(ref));
    }
  }

  @Test
  void tasksOfARestartedWorkerResumeInTheirNextAttempts() {
    BatchWorld world = new BatchWorld(2, 2, 4_000);
    world.workers.values().forEach(worker -> worker.runMillis = 8_000);
    String job = world.submit(BatchWorld.spec(8, 1_000));
    world.until("all running", 20_000, () -> world.runningTasks() == 8);
    List<TaskRef> running = world.worker("w1").running();
    running.forEach(ref -> world.worker("w1").model().checkpoint(ref, "cp" + ref.getIndex()));
    world.run(2_500);
    world.worker("w1").restart();
    world.untilState(job, "finished", 60_000);
    assertEquals(8 + running.size(), world.log.starts());
    for (TaskRef ref : running) {
      TaskRef next = ref.toBuilder().setAttempt(2).build();
      String checkpoint =
          world.workers.values().stream()
              .map(worker -> worker.checkpoints.get(next))
              .filter(found -> found != null)
              .findFirst()
              .orElseThrow();
      assertEquals("cp" + ref.getIndex(), checkpoint);
    }
  }

  @Test
  void anUnreachableWorkerKeepsItsTasksUntilItIsUnlisted() {
    BatchWorld world = new BatchWorld(2, 2, 4_000);
    world.workers.values().forEach(worker -> worker.runMillis = 30_000);
    String job = world.submit(BatchWorld.spec(8, 1_000));
    world.until("all running", 20_000, () -> world.runningTasks() == 8);
    world.worker("w1").lostCalls = call -> true;
    world.run(60_000);
    assertEquals(8, world.log.starts());
    assertFalse(world.query(job).getState().equals("finished"));
    world.workers.remove("w1");
    world.unlist("w1");
    world.untilState(job, "finished", 120_000);
    assertEquals(12, world.log.starts());
  }

  @Test
  void aLeavingWorkerHandsItsTasksOn() {
    BatchWorld world = new BatchWorld(2, 2, 4_000);
    world.workers.values().forEach(worker -> worker.runMillis = 10_000);
    String job = world.submit(BatchWorld.spec(4, 1_000));
    world.until("all running", 20_000, () -> world.runningTasks() == 4);
    int moved = world.worker("w1").running().size();
    assertTrue(moved > 0);
    world.worker("w1").model().leave();
    world.untilState(job, "finished", 60_000);
    assertEquals(4 + moved, world.log.starts());
  }

  @Test
  void assignedTasksContinueWhileTheStoreIsDown() {
    BatchWorld world = new BatchWorld(2, 2, 4_000);
    world.workers.values().forEach(worker -> worker.runMillis = 900_000);
    String job = world.submit(BatchWorld.spec(40, 1_000));
    world.until("assigned ahead", 20_000, () -> count(world, TaskState.ASSIGNED) == 12);
    world.store.lostCalls = call -> true;
    world.run(3_600_000);
    assertEquals(12, world.log.starts());
    assertEquals(0, world.runningTasks());
    world.store.lostCalls = call -> false;
    world.workers.values().forEach(worker -> worker.runMillis = 1_000);
    world.untilState(job, "finished", 120_000);
    assertEquals(40, world.log.starts());
  }

  @Test
  void aCompletedTaskIsKeptWhileItsStartMayBeRepeated() {
    BatchWorld world = new BatchWorld(1, 1, 4_000);
    FakeWorker worker = world.worker("w1");
    worker.lostReplies = call -> call.hasTaskStart();
    String job = world.submit(BatchWorld.spec(4, 1_000));
    world.untilState(job, "finished", 60_000);
    world.run(5_000);
    assertEquals(4, worker.model().tasks().size());
    assertEquals(4, world.log.starts());
  }

  @Test
  void manyFaultsTogetherNeverRunATaskTwice() {
    for (int seed = 1; seed <= 4; seed++) {
      BatchWorld world = new BatchWorld(3, 4, 4_000);
      Random random = new Random(seed);
      world.workers.values().forEach(worker -> worker.runMillis = 1_500);
      String job = world.submit(BatchWorld.spec(300, 1_000));
      world.store.lostCalls = call -> random.nextInt(20) == 0;
      world.store.lostReplies = call -> random.nextInt(20) == 0;
      world.store.lateCalls = call -> call.hasTransaction() && random.nextInt(20) == 0;
      world.workers.values().forEach(worker -> worker.lostCalls = c -> random.nextInt(30) == 0);
      world.workers.values().forEach(worker -> worker.lostReplies = c -> random.nextInt(30) == 0);
      for (int round = 0; round < 12; round++) {
        disturb(world, random);
        world.run(2_000 + random.nextInt(5_000));
        world.store.applyLate();
        world.instances.values().forEach(instance -> instance.paused = false);
      }
      world.store.lostCalls = call -> false;
      world.store.lostReplies = call -> false;
      world.store.lateCalls = call -> false;
      world.workers.values().forEach(worker -> worker.lostCalls = call -> false);
      world.workers.values().forEach(worker -> worker.lostReplies = call -> false);
      world.untilState(job, "finished", 600_000);
      assertEquals(300, world.query(job).getDone(), "seed " + seed);
    }
  }

  private static void disturb(BatchWorld world, Random random) {
    String instance = "e" + (1 + random.nextInt(3));
    String worker = "w" + (1 + random.nextInt(4));
    switch (random.nextInt(4)) {
      case 0 -> {
        world.kill(instance);
        world.start(instance);
      }
      case 1 -> world.instance(instance).paused = true;
      case 2 -> world.worker(worker).restart();
      default -> {
        // No fault in this round.
      }
    }
  }

  private static long count(BatchWorld world, TaskState state) {
    return world.rows().stream().filter(task -> task.getState() == state).count();
  }
}
