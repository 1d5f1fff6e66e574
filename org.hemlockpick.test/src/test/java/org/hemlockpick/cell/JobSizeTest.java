package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.junit.jupiter.api.Test;

/** Tests the limit on the tasks of a job. */
class JobSizeTest {
  private static final long SETTLE_MILLIS = 3_000;
  private static final long ANSWER_MILLIS = 1_000;

  /** Number of tasks that a job may have, over all its steps and occurrences. */
  private static final int MAX_TASKS = 9_000;

  private final CellWorld world = new CellWorld(20261205, 2, 3);

  private Submission job(int repeatCount, Step... steps) {
    long now = world.time.millis();
    return new Submission(
        "a", CellWorld.QUEUE, "spec", List.of(steps), now + 60_000, 1_000, repeatCount, now);
  }

  private ResultCode submit(Submission job) {
    List<CallerReply> replies = new ArrayList<>();
    world.workers.expect(job);
    world.nodes.get(0).process().submit(job, ANSWER_MILLIS, replies::add);
    world.time.runFor(ANSWER_MILLIS);
    assertEquals(1, replies.size());
    return replies.get(0).code();
  }

  /** Guards against a job whose tasks keep each holder busy for seconds, one after the other. */
  @Test
  void jobOfTooManyTasksIsRefusedAtOnce() {
    world.time.runFor(SETTLE_MILLIS);
    Step step = step(100_000);
    assertEquals(ResultCode.TOO_LARGE, submit(job(0, step, step, step)));
    assertNull(world.state("a"));
    assertTrue(
        world.log.stream().anyMatch(line -> line.contains("submit a TOO_LARGE (300000 tasks)")),
        world.log::toString);
  }

  @Test
  void jobOfAsManyTasksAsAllowedIsAccepted() {
    world.time.runFor(SETTLE_MILLIS);
    assertEquals(ResultCode.TOO_LARGE, submit(job(0, step(MAX_TASKS), step(1))));
    assertEquals(ResultCode.DONE, submit(job(0, step(MAX_TASKS - 1), step(1))));
  }

  @Test
  void tasksOfAllOccurrencesCount() {
    world.time.runFor(SETTLE_MILLIS);
    assertEquals(ResultCode.TOO_LARGE, submit(job(MAX_TASKS / 3 + 1, step(1), step(2))));
    Step largest = step(Integer.MAX_VALUE);
    assertEquals(ResultCode.TOO_LARGE, submit(job(Integer.MAX_VALUE, largest, largest, largest)));
    assertEquals(ResultCode.DONE, submit(job(MAX_TASKS / 3, step(1), step(2))));
  }

  /**
   * Guards against a submission that is sent to the store time and again, and refused each time.
   */
  @Test
  void submissionThatFitsNoRowIsRefusedAtOnce() {
    world.time.runFor(SETTLE_MILLIS);
    Step[] steps = new Step[8_000];
    Arrays.fill(steps, step(1));
    assertEquals(ResultCode.TOO_LARGE, submit(job(0, steps)));
    assertEquals(0, world.store.oversizedWrites);
    assertNull(world.state("a"));
  }

  private static Step step(int count) {
    return CellWorld.step(count);
  }

  /** Guards against notes of a job's tasks that make its row larger than the store takes. */
  @Test
  void largestJobGoesOnAfterAWorkerIsLostInAChangeOfHolder() {
    CellWorld large = new CellWorld(20261205, 3, 100);
    large.workers.returnsUnderOtherIdentifier = false;
    large.workers.runMillis = 3_000;
    large.time.runFor(SETTLE_MILLIS);
    large.submit(0, "a", CellWorld.step(MAX_TASKS - 200));
    large.time.runFor(400);
    large.holder().kill();
    large.workers.get("w0").restart(400);
    large.time.after(400, () -> large.registerWorker("w0"));
    large.time.runFor(30_000);
    int before = large.workers.starts.size();
    large.time.runFor(10_000);
    assertTrue(large.workers.starts.size() > before);
  }
}
