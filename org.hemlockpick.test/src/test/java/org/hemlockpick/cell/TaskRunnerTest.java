package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.hemlockpick.cell.WorkerPort.OrderReply;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.hemlockpick.fakes.VirtualTime;
import org.hemlockpick.proto.CellRecord;
import org.junit.jupiter.api.Test;

/** Tests that a run whose order cannot be repeated is stopped. */
class TaskRunnerTest {
  /** Interval between two checks of the lease, so that none counts as a suspension. */
  private static final long CHECK_MILLIS = 200;

  private final AdvancingClock clock = new AdvancingClock();
  private final RecordingPort port = new RecordingPort();
  private final CellSettings settings =
      new CellSettings("n0", "n0:1", "i1", "c0", CellWorld.LEASE_MILLIS, 200, 120_000);
  private final VirtualTime time = new VirtualTime(0);
  private final TableService store = new FakeStore(time, 1).view(new Inbox(time));
  private final CellJournal journal =
      new CellJournal(
          settings,
          store,
          clock,
          1,
          0,
          CellRecord::getDefaultInstance,
          TaskRunnerTest::ignore,
          new RecordedMetrics(),
          new IgnoringJournalListener());
  private final JobLifecycle lifecycle =
      new JobLifecycle(
          new JobTable(), journal, clock, TaskRunnerTest::ignore, new RunTimeEstimator());
  private final TaskRunner runner =
      new TaskRunner(
          settings,
          1,
          1,
          port,
          lifecycle,
          journal,
          clock,
          TaskRunnerTest::ignore,
          new IgnoringContext());

  /**
   * Guards against a run that stays in STARTING for good, as the time for leases ends between the
   * decision to repeat its order and the order.
   */
  @Test
  void runIsStoppedIfTheTimeForLeasesEndsBeforeItsOrderIsRepeated() {
    Worker worker = worker();
    Task task = task();
    runner.start(task, worker);
    Run run = worker.runs().iterator().next();
    passUntil(CellTiming.grantMillis(CellWorld.LEASE_MILLIS) - 1);
    clock.millisPerReading = 1;
    port.starts.remove().accept(new OrderReply(OrderOutcome.LOST, 0));
    assertEquals(Run.State.STOPPING, run.state());
    assertEquals(List.of(run.id()), port.stops);
    assertEquals(0, port.starts.size());
  }

  /** Guards against an order for a task that was given up while its start was being stored. */
  @Test
  void startIsNotOrderedIfItsJobEndsBeforeItIsStored() {
    storeLease();
    Worker worker = worker();
    Task task = task();
    task.crashes().setDoubted();
    runner.start(task, worker);
    journal.run();
    task.job().end(JobState.FAILED, 0);
    time.runFor(CHECK_MILLIS);
    assertEquals(0, port.starts.size());
    assertEquals(List.of(), List.copyOf(worker.runs()));
  }

  /** Guards against a start that is never ordered though it is stored. */
  @Test
  void startIsOrderedOnceItIsStored() {
    storeLease();
    Worker worker = worker();
    Task task = task();
    task.crashes().setDoubted();
    runner.start(task, worker);
    journal.run();
    assertEquals(0, port.starts.size());
    time.runFor(CHECK_MILLIS);
    assertEquals(1, port.starts.size());
  }

  /** Stores the row of the lease, with the first version. */
  private void storeLease() {
    Transaction.Write write = new Transaction.Write(CellRows.lease("c0"), ByteString.EMPTY);
    Transaction transaction = new Transaction("c0", List.of(), List.of(write), List.of());
    store.transact(transaction, CHECK_MILLIS, result -> {});
    time.runFor(CHECK_MILLIS);
  }

  private void passUntil(long millis) {
    while (clock.now < millis) {
      clock.now = Math.min(millis, clock.now + CHECK_MILLIS);
      journal.allowsOrders(clock.now);
    }
  }

  private static Worker worker() {
    Worker worker = RunFactory.worker("w");
    worker.leases().observeClock(1, 0);
    worker.listedCapacity().setGuarded(true);
    worker.setTokenAcknowledged(0, CellWorld.LEASE_MILLIS);
    worker.setFullyReported();
    worker.onWrittenToRoster(1);
    worker.onRosterStored(1);
    return worker;
  }

  private static Task task() {
    Job job = new Job(CellWorld.job("a", 0, CellWorld.step(1)), 0, false);
    job.openDueOccurrences(0);
    return job.stepRuns().get(0).tasks().get(0);
  }

  private static void ignore(String kind, String subject, String outcome, String reason) {}

  /** Clock that the test sets and that may advance with each reading. */
  private static final class AdvancingClock implements LoopClock {
    private long now;
    private long millisPerReading;

    @Override
    public long monotonicMillis() {
      long read = now;
      now += millisPerReading;
      return read;
    }

    @Override
    public long wallMillis() {
      return now;
    }
  }

  /** Records the orders; the test replies to those to start a run. */
  private static final class RecordingPort implements WorkerPort {
    private final Queue<Consumer<OrderReply>> starts = new ArrayDeque<>();
    private final List<RunId> stops = new ArrayList<>();

    @Override
    public void start(Target target, StartOrder order, Consumer<OrderReply> handler) {
      starts.add(handler);
    }

    @Override
    public void stop(Target target, RunId run, long token, Consumer<OrderReply> handler) {
      stops.add(run);
    }

    @Override
    public void pace(
        Target target, RunId run, int percent, long token, Consumer<OrderReply> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void hold(Target target, HoldCall call, Consumer<HoldReply> handler) {
      throw new UnsupportedOperationException();
    }
  }

  private static final class IgnoringContext implements TaskRunner.Context {
    @Override
    public void onFenced(Worker worker) {}

    @Override
    public boolean mayStartAt(Worker worker) {
      return true;
    }

    @Override
    public void onStarted(Run run) {}

    @Override
    public void onChange() {}
  }
}
