package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import org.hemlockpick.cell.FakeWorkers.Start;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests entries of the list of workers to which no call can be sent, as another writer's are. */
class UnusableWorkerTest {
  private static final long SETTLE_MILLIS = 4_000;
  private static final long OBSERVATION_MILLIS = 30_000;

  /** Interval between two submissions, in milliseconds. */
  private static final long SUBMISSION_MILLIS = 1_000;

  /** Longest time between a submission and the first start of its tasks, in milliseconds. */
  private static final long MAX_START_MILLIS = 1_000;

  private final CellWorld world = new CellWorld(20261205, 2, 4);

  /** Guards against a holder whose renewals starve as calls to such entries end its ticks. */
  @ParameterizedTest
  @ValueSource(ints = {1, 100, 300})
  void unusableEntriesTakeNoCellAwayAndDelayNoStart(int entries) {
    world.continuesAfterFailedTicks = true;
    world.time.runFor(SETTLE_MILLIS);
    long takeovers = takeovers();
    for (int i = 0; i < entries; i++) {
      String entry = world.time.millis() + " ready 8000 32000 0";
      world.store.put("workers", "unusable" + i, ByteString.copyFromUtf8(entry));
    }
    long until = world.time.millis() + OBSERVATION_MILLIS;
    for (int i = 0; world.time.millis() < until; i++) {
      String job = "j" + i;
      long submittedAt = world.time.millis();
      world.submit(i, job, CellWorld.step(2));
      world.time.runFor(SUBMISSION_MILLIS);
      long started = startedAfter(job, submittedAt);
      assertTrue(started <= MAX_START_MILLIS, () -> job + " after " + started + " ms\n" + log());
    }
    assertEquals(takeovers, takeovers(), this::log);
    assertEquals(List.of(), world.workers.violations);
    assertEquals(List.of(), world.unfinished());
  }

  /** Returns how often an instance has taken the cell. */
  private long takeovers() {
    return world.log.stream().filter(line -> line.contains(" cell c0 held ")).count();
  }

  private long startedAfter(String job, long submittedAt) {
    return world.workers.startLog.stream()
        .filter(start -> start.run().task().job().equals(job))
        .mapToLong(Start::atMillis)
        .map(at -> at - submittedAt)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private String log() {
    return String.join("\n", world.log);
  }
}
