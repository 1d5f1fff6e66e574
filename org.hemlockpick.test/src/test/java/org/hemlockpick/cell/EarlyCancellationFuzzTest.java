package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockpick.errors.ResultCode;

/**
 * Tests that no job starts long after its cancellation was acknowledged, while callers cancel jobs
 * whose submissions have no answer yet or are repeated, writes are applied late, and instances are
 * paused and killed.
 */
class EarlyCancellationFuzzTest {
  private static final int NODES = 3;
  private static final int WORKERS = 4;
  private static final int ROUNDS = 25;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long MAX_INTERVAL_MILLIS = 900;
  private static final long CALL_TIMEOUT_MILLIS = 2_000;
  private static final long RETRY_MILLIS = 300;
  private static final long LONG_MILLIS = 900_000;

  /** Latest time after which a write without an answer is applied, in milliseconds. */
  private static final long MAX_LATE_MILLIS = 6_000;

  /** Longest time between a submission and its repetition at another instance, in milliseconds. */
  private static final long MAX_REPETITION_MILLIS = 8_000;

  private static final int MAX_PAUSE_MILLIS = 6_000;

  /** Time after an acknowledgement within which all tasks have to be stopped, in milliseconds. */
  private static final long STOPPED_MILLIS = 20_000;

  private CellWorld world = new CellWorld(0, 0, 0);
  private SplittableRandom random = new SplittableRandom();

  /** Times of the acknowledgements by job. */
  private final Map<String, Long> acknowledgedAt = new LinkedHashMap<>();

  @Property(tries = 60, seed = "20261206")
  void canceledJobNeverStartsAfterwards(@ForAll long seed) {
    new EarlyCancellationFuzzTest().play(seed);
  }

  private void play(long seed) {
    world = new CellWorld(seed, NODES, WORKERS);
    random = new SplittableRandom(seed);
    world.time.runFor(SETTLE_MILLIS);
    world.store.maxDelayMillis = MAX_LATE_MILLIS;
    for (int i = 0; i < ROUNDS; i++) {
      world.store.lossProbability = random.nextInt(3) == 0 ? 0.3 : 0;
      submitAndCancel("a" + i);
      disturb();
      world.time.runFor(random.nextLong(MAX_INTERVAL_MILLIS));
    }
    world.store.lossProbability = 0;
    world.time.runFor(MAX_REPETITION_MILLIS + MAX_LATE_MILLIS + STOPPED_MILLIS);
    assertEquals(ROUNDS, acknowledgedAt.size(), () -> String.join("\n", world.log));
    assertEquals(List.of(), lateStarts(), () -> String.join("\n", world.log));
    assertEquals(0, world.workers.running(), () -> String.join("\n", world.log));
  }

  private void submitAndCancel(String id) {
    Step step = CellWorld.step(1, false, null, 0, true, List.of());
    Submission job = CellWorld.job(id, world.time.millis(), step);
    world.workers.expect(job);
    world.workers.runMillisByJob.put(id, LONG_MILLIS);
    int calls = 1 + random.nextInt(3);
    for (int i = 0; i < calls; i++) {
      long after = i == 0 ? 0 : random.nextLong(MAX_REPETITION_MILLIS);
      int node = random.nextInt(NODES);
      world.time.after(
          after, () -> call(node, cell -> cell.submit(job, CALL_TIMEOUT_MILLIS, reply -> {})));
    }
    long after = random.nextBoolean() ? random.nextLong(30) : random.nextLong(3_000);
    world.time.after(after, () -> cancel(id));
  }

  /** Calls an instance, which handles the call when it is up and not paused. */
  private void call(int node, Consumer<CellMember> action) {
    CellWorld.Node target = world.nodes.get(node);
    CellMember process = target.process;
    if (process == null || target.isPaused()) {
      world.time.after(RETRY_MILLIS, () -> call(node, action));
    } else {
      action.accept(process);
    }
  }

  /** Cancels a job at one instance after another until one acknowledges it. */
  private void cancel(String id) {
    if (acknowledgedAt.containsKey(id)) {
      return;
    }
    CellWorld.Node target = world.nodes.get(random.nextInt(NODES));
    CellMember process = target.process;
    if (process != null && !target.isPaused()) {
      process.cancel(
          CellWorld.address(id), "caller", CALL_TIMEOUT_MILLIS, reply -> onCanceled(id, reply));
    }
    world.time.after(CALL_TIMEOUT_MILLIS + RETRY_MILLIS, () -> cancel(id));
  }

  private void onCanceled(String id, CallerReply reply) {
    if (reply.code() == ResultCode.DONE || reply.code() == ResultCode.UNKNOWN_JOB) {
      acknowledgedAt.putIfAbsent(id, world.time.millis());
    }
  }

  private void disturb() {
    CellWorld.Node node = world.nodes.get(random.nextInt(NODES));
    if (node.process == null || node.isPaused()) {
      return;
    }
    switch (random.nextInt(6)) {
      case 0 -> {
        node.kill();
        world.time.after(random.nextLong(2_000), node::start);
      }
      case 1 -> node.pause(500 + random.nextInt(MAX_PAUSE_MILLIS));
      default -> {}
    }
  }

  /** Returns the starts that were carried out long after the acknowledgement. */
  private List<String> lateStarts() {
    List<String> late = new ArrayList<>();
    for (FakeWorkers.Start start : world.workers.startLog) {
      String id = start.run().task().job();
      if (start.atMillis() > acknowledgedAt.getOrDefault(id, Long.MAX_VALUE) + STOPPED_MILLIS) {
        late.add(start.toString());
      }
    }
    return late;
  }
}
