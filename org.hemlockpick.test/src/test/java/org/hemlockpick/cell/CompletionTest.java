package org.hemlockpick.cell;

import static org.hemlockpick.cell.CellWorld.step;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.cell.WorkerPort.CompletionKind;
import org.hemlockpick.cell.WorkerPort.CompletionReport;
import org.hemlockpick.cell.WorkerPort.HoldReply;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.proto.CellRecord;
import org.hemlockpick.proto.JobStateRecord;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.RosterEntry;
import org.hemlockpick.proto.RosterRecord;
import org.hemlockpick.proto.StepProgress;
import org.hemlockpick.proto.TaskNote;
import org.junit.jupiter.api.Test;

/**
 * Tests how completions are reported, stored and acknowledged, and how the rows that hold them are
 * written.
 */
class CompletionTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final int MAX_ATTEMPTS = 50;

  private static final long STATUS_RETENTION_MILLIS = 120_000;

  /** Longest time for which a task may wait though there is free capacity. */
  private static final long MAX_IDLE_MILLIS = 3_000;

  private static final CellSettings SETTINGS =
      new CellSettings("n", "n:1", "i", "c0", 5_000, 200, 120_000);

  private final CellWorld world = new CellWorld(20261204, 3, 4);

  /** Workers report failures that were not stored again, in the order in which they answer. */
  @Test
  void failureCountsWhenALaterOneIsReportedFirst() {
    world.workers.failureProbability = 1;
    world.workers.runMillis = 100;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(1));
    world.time.runFor(100);
    world.holder().storeView.disconnected = true;
    world.time.runFor(1_200);
    world.workers.runMillis = 60_000;
    world.time.runFor(8_000);
    int failed = world.workers.starts.size() - 1;
    assertEquals(failed, world.failures("a"), () -> String.join("\n", world.log));
  }

  /** The same at the job lifecycle: the failure of an attempt is counted once, in any order. */
  @Test
  void failuresAreCountedInAnyOrder() {
    Task task = task(step(1));
    JobLifecycle lifecycle = lifecycle();
    Worker worker = RunFactory.worker("w0");
    for (int attempt : new int[] {2, 1, 2, 1}) {
      lifecycle.onCompletion(task, attempt, worker, CompletionKind.FAILED, "", null, MAX_ATTEMPTS);
    }
    assertEquals(2, task.failures());
  }

  /** Guards against a gang that fails too soon, as its holder ended while its rows were written. */
  @Test
  void failureOfAGangCountsOnceThoughItIsStoredForSomeMembersOnly() {
    Task stored = task(longStep(2, true));
    Task other = stored.step().tasks().get(1);
    stored.failedAttempts().restore(1, 1, List.of());
    Worker worker = RunFactory.worker("w0");
    lifecycle().onCompletion(other, 1, worker, CompletionKind.FAILED, "", null, MAX_ATTEMPTS);
    assertEquals(1, stored.failures());
    assertEquals(1, other.failures());
  }

  /** The completion of an attempt that was replaced is reported late, with its old checkpoint. */
  @Test
  void checkpointOfAReplacedAttemptIsDropped() {
    Task task = task(step(1));
    JobLifecycle lifecycle = lifecycle();
    Worker worker = RunFactory.worker("w0");
    lifecycle.onCompletion(task, 2, worker, CompletionKind.STOPPED, "newer", null, MAX_ATTEMPTS);
    lifecycle.onCompletion(task, 1, worker, CompletionKind.LAPSED, "older", null, MAX_ATTEMPTS);
    assertEquals("newer", task.checkpoint());
  }

  /** The next holder drops it too: the row names the attempt of the checkpoint. */
  @Test
  void checkpointOfAReplacedAttemptIsDroppedByTheNextHolder() throws Exception {
    Task task = task(step(1));
    JobLifecycle lifecycle = lifecycle();
    Worker worker = RunFactory.worker("w0");
    lifecycle.onCompletion(task, 2, worker, CompletionKind.STOPPED, "newer", null, MAX_ATTEMPTS);
    Task restored = task(step(1));
    restored.job().restore(ProgressRecord.parseFrom(JobRows.encode(task.job())));
    lifecycle.onCompletion(restored, 1, worker, CompletionKind.LAPSED, "older", null, MAX_ATTEMPTS);
    assertEquals("newer", restored.checkpoint());
  }

  /** A new process gets the report of the last failure before it has read the configuration. */
  @Test
  void jobFailsWhenItsLastFailureIsReportedBeforeTheConfigurationIsRead() {
    restore(CellWorld.job("a", world.time.millis(), step(1)), MAX_ATTEMPTS - 1);
    world.workers.failureProbability = 1;
    world.workers.runMillis = 4_000;
    world.time.runFor(1_500);
    assertEquals(1, world.workers.running(), () -> String.join("\n", world.log));
    CellWorld.Node holder = world.holder();
    world.store.remove("operator", "configuration");
    holder.kill();
    holder.start();
    world.time.runFor(6_000);
    assertEquals(0, world.workers.running(), () -> String.join("\n", world.log));
    world.store.put("operator", "configuration", ByteString.copyFromUtf8("2"));
    world.time.runFor(5_000);
    assertEquals(1, world.workers.starts.size(), () -> String.join("\n", world.log));
    assertEquals(JobState.FAILED, world.state("a"));
  }

  /**
   * The limit of a queue is lowered below the number of attempts that a task has failed already.
   */
  @Test
  void jobFailsOnceTheLimitOfItsQueueIsLowered() {
    Task task = task(step(1));
    JobLifecycle lifecycle = lifecycle();
    for (int attempt = 1; attempt <= 3; attempt++) {
      lifecycle.onCompletion(
          task, attempt, RunFactory.worker("w0"), CompletionKind.FAILED, "", null, MAX_ATTEMPTS);
    }
    assertFalse(lifecycle.failIfAttemptsExhausted(task.job(), 4));
    assertTrue(lifecycle.failIfAttemptsExhausted(task.job(), 3));
    assertEquals(JobState.FAILED, task.job().state());
  }

  /** The newest run at each worker has failed, so that every worker is suspect. */
  @Test
  void lastAttemptStartsWhenARunHasFailedAtEveryWorker() {
    world.workers.failureProbability = 1;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(1));
    world.time.runFor(100_000);
    List<FakeWorkers.Start> starts = world.workers.startLog;
    FakeWorkers.Start last = starts.get(starts.size() - 1);
    assertEquals(MAX_ATTEMPTS, starts.size(), () -> last + ", now " + world.time.millis());
    assertEquals(JobState.FAILED, world.state("a"));
  }

  /** The runs of one job fail everywhere through its own fault, and every worker is paused. */
  @Test
  void jobStartsSoonWhileTheRunsOfAnotherFailEverywhere() {
    world.workers.failureProbability = 1;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(16));
    world.time.runFor(20_000);
    long taken = timeToStart("b", step(1));
    assertTrue(taken <= MAX_IDLE_MILLIS, () -> taken + " ms");
  }

  /** No order to start arrived, and no reply to an order to stop does; reports do. */
  @Test
  void taskRunsElsewhereWhenTheRepliesToItsStopAreLost() {
    world.time.runFor(SETTLE_MILLIS);
    world.holder().workerView.startsLost = true;
    world.holder().workerView.stopsUnanswered = true;
    world.submit(0, "a", step(1));
    world.time.runFor(3_000);
    world.holder().workerView.startsLost = false;
    world.time.runFor(30_000);
    assertEquals(JobState.COMPLETED, world.state("a"), () -> String.join("\n", world.log));
  }

  /**
   * All orders to start a task and to stop it are carried out seconds late. The next call under a
   * higher fencing token proves that none of them starts it any more; the worker then refuses them,
   * which must not be taken for a successor.
   */
  @Test
  void taskRunsElsewhereWhileItsOrdersAreCarriedOutLate() {
    world.time.runFor(SETTLE_MILLIS);
    CellWorld.Node holder = world.holder();
    world.workers.lateOrderProbability = 1;
    world.submit(0, "a", step(1));
    world.time.runFor(3_500);
    world.workers.lateOrderProbability = 0;
    world.time.runFor(3_500);
    assertEquals(JobState.COMPLETED, world.state("a"), () -> String.join("\n", world.log));
    world.time.runFor(10_000);
    assertEquals(List.of(), world.workers.violations);
    assertEquals(holder, world.holder());
  }

  /** A gang that does not fit must not block single tasks of the same size. */
  @Test
  void taskStartsWhileAGangWaitsForCapacity() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", longStep(17, true));
    world.time.runFor(500);
    long taken = timeToStart("b", longStep(1, false));
    assertTrue(taken <= MAX_IDLE_MILLIS, () -> taken + " ms");
  }

  /**
   * A worker reports 500 completions at a time; a run whose completion is behind them is in no
   * list.
   */
  @Test
  void runWithAnUnreportedCompletionIsNotStartedAgain() {
    CellWorld small = new CellWorld(20261204, 3, 1);
    small.workers.runMillis = 1_000;
    small.time.runFor(SETTLE_MILLIS);
    small.submit(0, "a", smallStep(700));
    small.time.runFor(200);
    small.store.unresponsive = true;
    small.time.runFor(3_000);
    small.store.unresponsive = false;
    small.time.runFor(10_000);
    assertEquals(700, small.workers.starts.size());
    assertEquals(List.of(), small.workers.violations);
  }

  /** The same for a new holder: the first 500 completions prove nothing about the other tasks. */
  @Test
  void runWithAnUnreportedCompletionIsNotStartedByTheNextHolder() {
    CellWorld small = new CellWorld(20261204, 3, 1);
    small.workers.runMillis = 1_000;
    small.time.runFor(SETTLE_MILLIS);
    small.submit(0, "a", smallStep(700));
    small.time.runFor(400);
    small.holder().kill();
    small.time.runFor(20_000);
    assertEquals(700, small.workers.starts.size());
    assertEquals(List.of(), small.workers.violations);
    assertEquals(JobState.COMPLETED, small.state("a"));
  }

  /** A late order of an earlier holder starts a run of a job that has been canceled. */
  @Test
  void orphanedRunTakesUpCapacityUntilItIsGone() {
    CellWorld small = new CellWorld(20261204, 3, 1);
    small.workers.runMillis = 20_000;
    small.time.runFor(SETTLE_MILLIS);
    small.submit(0, "a", step(1));
    small.time.runFor(500);
    small.holder().process().cancel(CellWorld.address("a"), "caller", 1_000, reply -> {});
    small.time.runFor(3_000);
    assertEquals(0, small.workers.running());
    small.workers.startLate("w0", new RunId(new TaskId("a", 0, 0, 0), 9));
    fillOnceOrphanIsSeen(small);
  }

  /** The same for a run of a job that this holder does not know. */
  @Test
  void workerWithARunOfAnUnknownJobGetsNoTask() {
    CellWorld small = new CellWorld(20261204, 3, 1);
    small.workers.runMillis = 20_000;
    small.time.runFor(SETTLE_MILLIS);
    small.workers.expect(CellWorld.job("a", 0, step(1)));
    small.workers.startLate("w0", new RunId(new TaskId("a", 0, 0, 0), 9));
    fillOnceOrphanIsSeen(small);
  }

  /**
   * Submits as many tasks as fit on the worker, once the holder knows of the orphaned run there.
   */
  private static void fillOnceOrphanIsSeen(CellWorld small) {
    while (small.log.stream().noneMatch(line -> line.contains("not adopted"))) {
      small.time.runFor(1);
    }
    assertEquals(1, small.workers.running());
    small.workers.runMillis = 500;
    small.submit(small.nodes.indexOf(small.holder()), "b", step(4));
    small.time.runFor(5_000);
    assertEquals(List.of(), small.workers.violations, () -> String.join("\n", small.log));
    assertEquals(JobState.COMPLETED, small.state("b"));
  }

  /**
   * The store answers while a hold call is in flight: its reply comes after the call that would
   * have acknowledged the completion.
   */
  @Test
  void completionsOfAnIdleWorkerAreAcknowledged() {
    List<String> unacknowledged = new ArrayList<>();
    for (int latency = 360; latency < 440; latency++) {
      CellWorld idle = new CellWorld(latency, 1, 1);
      idle.time.runFor(SETTLE_MILLIS);
      idle.submit(0, "a", step(1));
      idle.time.runFor(200);
      idle.store.transactionMillis = latency;
      idle.time.runFor(20_000);
      if (idle.workers.get("w0").unacknowledgedCompletions() > 0) {
        unacknowledged.add("service takes " + latency + " ms");
      }
    }
    assertEquals(List.of(), unacknowledged);
  }

  /** After an unanswered call nothing is acknowledged, and an idle worker is polled seldom. */
  @Test
  void completionsOfAnIdleWorkerAreAcknowledgedAfterALostReply() {
    CellWorld idle = new CellWorld(20261204, 1, 1);
    idle.time.runFor(SETTLE_MILLIS);
    idle.submit(0, "a", step(1));
    while (idle.workers.get("w0").unacknowledgedCompletions() == 0) {
      idle.time.runFor(1);
    }
    idle.workers.get("w0").disconnected = true;
    idle.time.runFor(1_500);
    idle.workers.get("w0").disconnected = false;
    idle.time.runFor(20_000);
    assertEquals(
        0, idle.workers.get("w0").unacknowledgedCompletions(), () -> String.join("\n", idle.log));
  }

  /** The jobs are read again while the rows of one that ended long ago are removed. */
  @Test
  void jobWhoseRowsAreBeingRemovedIsNotTakenForANewOne() {
    List<String> restarted = new ArrayList<>();
    for (int phase = 0; phase < 30; phase += 5) {
      CellWorld swept = new CellWorld(10, 3, 4);
      swept.time.runFor(SETTLE_MILLIS);
      for (int i = 0; i < 40; i++) {
        swept.submit(i, "j" + i, step(1));
      }
      swept.time.runFor(119_000 + phase);
      for (int i = 0; i < 1_500; i++) {
        swept.store.put("elsewhere", "key", ByteString.EMPTY);
        swept.store.forgetHistory();
        swept.time.runFor(10);
      }
      if (swept.workers.starts.size() != 40 || !swept.workers.violations.isEmpty()) {
        restarted.add(phase + ": " + swept.workers.starts.size() + " starts");
      }
    }
    assertEquals(List.of(), restarted);
  }

  /**
   * The holder's wall clock is a few seconds ahead or is set; a state must be returned for its
   * whole retention time.
   */
  @Test
  void stateIsReturnedForItsRetentionWhenTheWallClockIsSet() {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(1));
    while (world.state("a") != JobState.COMPLETED) {
      world.time.runFor(10);
    }
    long ended = world.time.millis();
    world.holder().wallOffsetMillis = 6_000;
    world.time.runFor(110_000);
    while (world.time.millis() < ended + STATUS_RETENTION_MILLIS - 1_200) {
      long elapsed = world.time.millis() - ended;
      assertEquals(JobState.COMPLETED, world.state("a"), () -> "after " + elapsed + " ms");
    }
  }

  /**
   * No process holds the cell when the job is canceled; the cancellation is read before the job.
   */
  @Test
  void cancellationIsFoundByTheNextHolder() {
    world.workers.runMillis = 20_000;
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step(2), step(2, 0));
    world.time.runFor(500);
    CellWorld.Node holder = world.holder();
    holder.kill();
    CellWorld.Node other = world.nodes.get((world.nodes.indexOf(holder) + 1) % 3);
    other.process().cancel(CellWorld.address("a"), "caller", 1_000, reply -> {});
    world.time.runFor(6_000);
    assertEquals(JobState.CANCELED, world.state("a"));
    assertEquals(0, world.workers.running());
    assertEquals(2, world.workers.starts.size());
  }

  /** The handling of a row fails; those after it in the same reply are handled later. */
  @Test
  void rowsAfterOneWhoseHandlingFailsAreNotLost() {
    boolean[] failing = new boolean[] {true};
    JobTable jobs = new JobTable();
    CellJournal journal = journal(new SizeLimitedStore());
    LoopClock clock = world.nodes.get(0);
    DecisionLog log = (kind, subject, outcome, reason) -> {};
    JobLifecycle lifecycle = new JobLifecycle(jobs, journal, clock, log, new RunTimeEstimator());
    Runnable onChange =
        () -> {
          if (failing[0]) {
            failing[0] = false;
            throw new IllegalStateException("once");
          }
        };
    JobWatcher watcher =
        new JobWatcher("c0", world.store.view(), jobs, lifecycle, journal, clock, log, onChange);
    for (int i = 0; i < 10; i++) {
      runOnce(watcher);
    }
    assertTrue(watcher.isLoaded());
    submit("first");
    submit("second");
    for (int i = 0; i < 300; i++) {
      runOnce(watcher);
    }
    assertTrue(jobs.get("first") != null);
    assertTrue(jobs.get("second") != null);
  }

  /**
   * The handling of a completion fails; it is reported again, and those after it are handled at
   * once.
   */
  @Test
  void completionsAfterOneWhoseHandlingFailsAreNotLost() {
    Task first = task(step(3));
    List<Task> tasks = first.step().tasks();
    Worker worker = RunFactory.worker("w0");
    JobTable jobs = new JobTable();
    jobs.add(first.job());
    JobLifecycle lifecycle = lifecycle();
    TaskRunner runner = runner(lifecycle);
    RunReconciler reconciler = reconcilerThatFailsOnce(runner, jobs, lifecycle);
    tasks.forEach(task -> runner.start(task, worker));
    ImmutableList<CompletionReport> completions =
        ImmutableList.of(
            completion(1, tasks.get(0)), completion(2, tasks.get(1)), completion(3, tasks.get(2)));
    HoldReply reply =
        new HoldReply(OrderOutcome.ACCEPTED, 1, 1, ImmutableList.of(), completions, true);
    reconciler.onReport(worker, reply, world.time.millis(), 0);
    assertTrue(tasks.get(0).isDone());
    assertFalse(tasks.get(1).isDone());
    assertTrue(tasks.get(1).run() != null);
    assertTrue(tasks.get(2).isDone());
    assertEquals(1, worker.completions().last());
    reconciler.onReport(worker, reply, world.time.millis(), 0);
    assertTrue(tasks.get(1).isDone());
    assertEquals(3, worker.completions().last());
  }

  private static CompletionReport completion(long number, Task task) {
    return new CompletionReport(number, new RunId(task.id(), 1), CompletionKind.DONE, "");
  }

  /** Creates a reconciler that fails with the second completion that it handles. */
  private RunReconciler reconcilerThatFailsOnce(
      TaskRunner runner, JobTable jobs, JobLifecycle lifecycle) {
    int[] asked = new int[1];
    LoopClock clock = world.nodes.get(0);
    DecisionLog log = (kind, subject, outcome, reason) -> {};
    return new RunReconciler(
        runner,
        jobs,
        lifecycle,
        new CrashTracker(new WorkerTable(), lifecycle, clock, log),
        clock,
        log,
        new RecordedMetrics(),
        job -> {
          if (++asked[0] == 2) {
            throw new IllegalStateException("once");
          }
          return MAX_ATTEMPTS;
        });
  }

  private TaskRunner runner(JobLifecycle lifecycle) {
    TaskRunner.Context context =
        new TaskRunner.Context() {
          @Override
          public boolean mayStartAt(Worker worker) {
            return true;
          }

          @Override
          public void onStarted(Run run) {}

          @Override
          public void onFenced(Worker worker) {}

          @Override
          public void onChange() {}
        };
    return new TaskRunner(
        SETTINGS,
        1,
        1,
        world.workers.view(),
        lifecycle,
        journal(new SizeLimitedStore()),
        world.nodes.get(0),
        (kind, subject, outcome, reason) -> {},
        context);
  }

  /** Runs the watcher as the loop does, which goes on after an action that fails. */
  private void runOnce(JobWatcher watcher) {
    try {
      watcher.run(world.time.millis());
      world.time.runFor(10);
    } catch (IllegalStateException e) {
      assertEquals("once", e.getMessage());
    }
  }

  private void submit(String id) {
    Submission job = CellWorld.job(id, world.time.millis(), step(1));
    world.workers.expect(job);
    write(JobRows.part("c0", id), new Write(JobRows.submission(id), JobRows.encode(job)));
  }

  /** The same failure of a gang may be reported by several of its members. */
  @Test
  void failureOfAGangIsCountedOnceWhenTwoMembersFail() {
    Task first = task(CellWorld.constrainedStep(2, true, 0));
    Task second = first.step().tasks().get(1);
    JobLifecycle lifecycle = lifecycle();
    Worker worker = RunFactory.worker("w0");
    lifecycle.onCompletion(first, 1, worker, CompletionKind.FAILED, "", null, MAX_ATTEMPTS);
    lifecycle.onCompletion(second, 1, worker, CompletionKind.FAILED, "", null, MAX_ATTEMPTS);
    assertEquals(1, first.failures());
    assertEquals(1, second.failures());
  }

  /** A row that the service refuses for its size must not block the others. */
  @Test
  void oversizedRowBlocksNoOther() {
    SizeLimitedStore store = new SizeLimitedStore();
    CellJournal journal = journal(store);
    journal.markDirty(jobWithCheckpoints("large", 4_000));
    journal.markDirty(jobWithCheckpoints("small", 1));
    boolean[] stored = new boolean[1];
    journal.whenStored(() -> stored[0] = true);
    run(journal);
    assertTrue(store.written.contains("small"), () -> "written " + store.written);
    assertTrue(stored[0]);
  }

  /**
   * The service refuses the progress of a job: its completions are reported again to the next
   * holder.
   */
  @Test
  void completionThatCouldNotBeStoredIsNotAcknowledged() {
    CellWorld small = new CellWorld(20261204, 3, 1);
    small.time.runFor(SETTLE_MILLIS);
    small.store.refusedProgress = "a";
    small.submit(0, "a", step(2));
    small.submit(0, "b", step(2));
    small.time.runFor(5_000);
    assertEquals(JobState.COMPLETED, small.state("b"));
    assertTrue(small.workers.get("w0").unacknowledgedCompletions() > 0);
    small.holder().kill();
    small.store.refusedProgress = "";
    small.time.runFor(20_000);
    assertEquals(JobState.COMPLETED, small.state("a"));
    assertEquals(4, small.workers.starts.size());
    assertEquals(List.of(), small.workers.violations);
    assertEquals(0, small.workers.get("w0").unacknowledgedCompletions());
  }

  /** The service refused the progress for a while, and nothing changes the job any more. */
  @Test
  void refusedRowIsRetriedLater() {
    CellWorld small = new CellWorld(20261204, 3, 1);
    small.time.runFor(SETTLE_MILLIS);
    small.store.refusedProgress = "a";
    small.submit(0, "a", step(2));
    small.time.runFor(5_000);
    small.store.refusedProgress = "";
    small.time.runFor(20_000);
    assertEquals(JobState.COMPLETED, small.state("a"));
    assertEquals(0, small.workers.get("w0").unacknowledgedCompletions());
    assertEquals(2, small.workers.starts.size());
  }

  /**
   * Workers become schedulable only with a stored roster, as a later holder looks for tasks there.
   */
  @Test
  void refusedRosterDoesNotCountAsStored() {
    SizeLimitedStore store = new SizeLimitedStore();
    CellJournal journal = journal(store);
    RosterRecord.Builder roster = RosterRecord.newBuilder().setFormat(JobRows.FORMAT);
    String address = "a".repeat(SizeLimitedStore.MAX_ROW_BYTES);
    roster.addWorkers(RosterEntry.newBuilder().setWorker("w").setAddress(address));
    journal.setRoster(roster.build());
    run(journal);
    assertTrue(journal.isRosterRefused());
    journal.setRoster(roster.clearWorkers().build());
    run(journal);
    assertFalse(journal.isRosterRefused());
  }

  /** All workers are unreachable for the holder, and the roster names the tasks of each. */
  @Test
  void rosterOfManyUnreachableWorkersBlocksNoOther() {
    SizeLimitedStore store = new SizeLimitedStore();
    CellJournal journal = journal(store);
    RosterRecord.Builder roster = RosterRecord.newBuilder().setFormat(JobRows.FORMAT);
    for (int i = 0; i < 250; i++) {
      RosterEntry.Builder entry =
          RosterEntry.newBuilder()
              .setWorker("i-2021b8c1-" + i)
              .setAddress("10.128.2.51:8080")
              .setSilent(true);
      for (int k = 0; k < 12; k++) {
        entry.addTasks(new TaskId("cc98ac106a372958", 0, 0, i * 12 + k).toString());
      }
      roster.addWorkers(entry);
    }
    journal.setRoster(roster.build());
    journal.markDirty(jobWithCheckpoints("small", 1));
    run(journal);
    assertTrue(store.written.contains("small"), () -> "written " + store.written);
  }

  /** A transaction that the service refuses for its size is split. */
  @Test
  void jobsTooLargeForOneTransactionAreStoredInSeveral() {
    SizeLimitedStore store = new SizeLimitedStore();
    CellJournal journal = journal(store);
    for (int i = 0; i < 80; i++) {
      journal.markDirty(jobWithCheckpoints("j" + i, 1_000));
    }
    boolean[] stored = new boolean[1];
    journal.whenStored(() -> stored[0] = true);
    run(journal);
    assertTrue(stored[0], () -> "written " + store.written);
  }

  /** Submits a job and returns the time until its first task starts, in milliseconds. */
  private long timeToStart(String id, Step step) {
    world.submit(0, id, step);
    long submittedAt = world.time.millis();
    while (world.time.millis() < submittedAt + 30_000) {
      world.time.runFor(10);
      for (FakeWorkers.Start start : world.workers.startLog) {
        if (start.run().task().job().equals(id)) {
          return start.atMillis() - submittedAt;
        }
      }
    }
    return 30_000;
  }

  /** Writes a job of one task as an earlier holder left it. */
  private void restore(Submission job, int failures) {
    world.workers.expect(job);
    ProgressRecord progress =
        ProgressRecord.newBuilder()
            .setFormat(JobRows.FORMAT)
            .setState(JobStateRecord.JOB_RUNNING)
            .addSteps(
                StepProgress.newBuilder().addNotes(TaskNote.newBuilder().setFailures(failures)))
            .build();
    write(
        JobRows.part("c0", job.id()), new Write(JobRows.submission(job.id()), JobRows.encode(job)));
    write("c0", new Write(JobRows.progress(job.id()), progress.toByteString()));
  }

  private void write(String part, Write write) {
    Transaction transaction = new Transaction(part, List.of(), List.of(write), List.of());
    world.store.view().transact(transaction, 1_000, result -> {});
  }

  private static Step smallStep(int count) {
    return sized(count, new ResourceAmounts(10, 10, 0), 500, false);
  }

  private static Step longStep(int count, boolean gang) {
    return sized(count, new ResourceAmounts(2_000, 4_000, 0), 20_000, gang);
  }

  private static Step sized(int count, ResourceAmounts demand, long estimateMillis, boolean gang) {
    return new Step(
        count,
        demand,
        estimateMillis,
        List.of(),
        false,
        gang,
        false,
        null,
        null,
        0,
        false,
        false,
        "image",
        0,
        false,
        null);
  }

  private static Task task(Step step) {
    Job job = new Job(CellWorld.job("a", 0, step), 1, false);
    job.openDueOccurrences(0);
    return job.stepRuns().get(0).tasks().get(0);
  }

  private static Job jobWithCheckpoints(String id, int tasks) {
    Job job = new Job(CellWorld.job(id, 0, smallStep(tasks)), 1, false);
    job.openDueOccurrences(0);
    for (Task task : job.stepRuns().get(0).tasks()) {
      task.setCheckpoint(1, "0123456789abcdef");
    }
    return job;
  }

  private JobLifecycle lifecycle() {
    return new JobLifecycle(
        new JobTable(),
        journal(new SizeLimitedStore()),
        world.nodes.get(0),
        (kind, subject, outcome, reason) -> {},
        new RunTimeEstimator());
  }

  private CellJournal journal(TableService store) {
    return new CellJournal(
        SETTINGS,
        store,
        world.nodes.get(0),
        1,
        world.time.millis(),
        CellRecord::getDefaultInstance,
        (kind, subject, outcome, reason) -> {},
        new RecordedMetrics(),
        new IgnoringJournalListener());
  }

  private void run(CellJournal journal) {
    for (int i = 0; i < 500; i++) {
      journal.run();
      world.time.runFor(10);
    }
  }

  /** Applies only transactions within the size limits of the service, and refuses others. */
  private static final class SizeLimitedStore implements TableService {
    private static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_TRANSACTION_BYTES = 1_000_000;
    private static final int MAX_ENTRIES = 100;

    private final List<String> written = new ArrayList<>();
    private long version = 1;

    @Override
    public void transact(
        Transaction transaction, long timeoutMillis, Consumer<TransactionResult> handler) {
      if (!isWithinLimits(transaction)) {
        handler.accept(new TransactionResult(Outcome.REFUSED, 0, ImmutableList.of()));
        return;
      }
      version++;
      transaction.writes().forEach(write -> written.add(write.row().key()));
      handler.accept(new TransactionResult(Outcome.COMMITTED, version, ImmutableList.of()));
    }

    private static boolean isWithinLimits(Transaction transaction) {
      int entries =
          transaction.conditions().size()
              + transaction.writes().size()
              + transaction.removals().size();
      int bytes = 0;
      for (Write write : transaction.writes()) {
        // Rows are sent as base64: four characters for three bytes.
        int size = (write.value().size() + 2) / 3 * 4;
        if (write.value().size() > MAX_ROW_BYTES) {
          return false;
        }
        bytes += size;
      }
      return entries <= MAX_ENTRIES && bytes <= MAX_TRANSACTION_BYTES;
    }

    @Override
    public void read(Range range, long timeoutMillis, Consumer<ReadResult> handler) {
      handler.accept(new ReadResult(false, ImmutableList.of(), false, 0));
    }

    @Override
    public void readLarge(Range range, long idleTimeoutMillis, Consumer<ReadResult> handler) {
      read(range, idleTimeoutMillis, handler);
    }

    @Override
    public void watch(
        String table,
        long afterVersion,
        long waitMillis,
        long idleTimeoutMillis,
        Consumer<WatchResult> handler) {
      handler.accept(new WatchResult(WatchOutcome.FAILED, ImmutableList.of(), 0));
    }
  }
}
