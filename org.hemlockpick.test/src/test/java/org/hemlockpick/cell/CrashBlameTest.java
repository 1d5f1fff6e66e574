package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.hemlockpick.cell.TaskCrashes.Crash;
import org.hemlockpick.fakes.VirtualTime;
import org.hemlockpick.proto.CellRecord;
import org.junit.jupiter.api.Test;

/** Tests which of the tasks that ran at a crashed worker are blamed, and which are in doubt. */
class CrashBlameTest {
  private static final long CRASH_MILLIS = 200;

  private final VirtualTime time = new VirtualTime(0);
  private final RunFactory factory = new RunFactory(100);
  private final WorkerTable workers = new WorkerTable();
  private final LoopClock clock = new TimeClock();
  private final CellJournal journal =
      new CellJournal(
          new CellSettings("n", "n:1", "i", "c0", CellWorld.LEASE_MILLIS, 200, 120_000),
          new FakeStore(time, 1).view(),
          clock,
          1,
          0,
          CellRecord::getDefaultInstance,
          CrashBlameTest::ignore,
          new RecordedMetrics(),
          new IgnoringJournalListener());
  private final JobLifecycle lifecycle =
      new JobLifecycle(
          new JobTable(), journal, clock, CrashBlameTest::ignore, new RunTimeEstimator());
  private final CrashTracker tracker =
      new CrashTracker(workers, lifecycle, clock, CrashBlameTest::ignore);

  private static void ignore(String kind, String subject, String outcome, String reason) {}

  private Run start(Worker worker) {
    return factory.run(worker, "image", true);
  }

  private void crash(Worker worker) {
    worker.onAnswer(CRASH_MILLIS);
    time.runFor(CRASH_MILLIS);
    tracker.onReplaced(worker);
  }

  private static void setSuspect(Run run) {
    run.task().crashes().add(new Crash(7, "other", TaskCrashes.UNKNOWN_AGE_MILLIS, true));
    assertTrue(run.task().crashes().isSuspect());
  }

  /** Guards against a guilty task that is never blamed, as it always runs beside suspects. */
  @Test
  void taskForWhoseCrashASuspectIsBlamedIsInDoubt() {
    Worker worker = RunFactory.worker("w");
    Run suspect = start(worker);
    setSuspect(suspect);
    Run other = start(worker);
    crash(worker);
    assertEquals(2, suspect.task().crashes().all().size());
    assertEquals(List.of(), other.task().crashes().all());
    assertTrue(other.task().crashes().isDoubted());
    assertTrue(other.task().crashes().isWatched());
    crash(start(RunFactory.worker("v"), other));
    assertEquals(1, other.task().crashes().all().size());
  }

  private static Worker start(Worker worker, Run earlier) {
    Run next = new Run(earlier.task(), 2, worker, Run.State.RUNNING, CRASH_MILLIS);
    earlier.task().setRun(next);
    worker.add(next);
    return worker;
  }

  /** Guards against doubts about tasks where no other one is suspect. */
  @Test
  void tasksAreBlamedWithoutADoubtIfNoneIsSuspect() {
    Worker worker = RunFactory.worker("w");
    List<Run> runs = List.of(start(worker), start(worker));
    crash(worker);
    for (Run run : runs) {
      assertEquals(1, run.task().crashes().all().size());
      assertFalse(run.task().crashes().isDoubted());
    }
  }

  /** Guards against doubts about tasks of a worker that shut down as it was told to. */
  @Test
  void nobodyIsInDoubtForAWorkerThatDidNotCrash() {
    Worker worker = RunFactory.worker("w");
    Run suspect = start(worker);
    setSuspect(suspect);
    Run other = start(worker);
    worker.onAnswer(CRASH_MILLIS);
    tracker.onRunsInDoubt(worker);
    tracker.onReport(worker, Set.of(suspect.id(), other.id()));
    assertFalse(other.task().crashes().isDoubted());
    assertEquals(1, suspect.task().crashes().all().size());
  }

  private final class TimeClock implements LoopClock {
    @Override
    public long monotonicMillis() {
      return time.millis();
    }

    @Override
    public long wallMillis() {
      return time.millis();
    }
  }
}
