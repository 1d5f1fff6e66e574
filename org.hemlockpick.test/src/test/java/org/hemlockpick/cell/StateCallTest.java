package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what callers are told that ask for the state of a job around its end. */
class StateCallTest {
  private static final long SETTLE_MILLIS = 3_000;

  /** Longest time from a call in which the state of a running job is told, in milliseconds. */
  private static final long MAX_ANSWER_MILLIS = 200;

  private final CellWorld world = new CellWorld(20261206, 3, 3);
  private final List<CallerReply> replies = new ArrayList<>();

  private void ask(int node) {
    world.nodes.get(node).process().state(CellWorld.address("a"), 1_000, replies::add);
  }

  private void submit(Step step) {
    world.time.runFor(SETTLE_MILLIS);
    world.submit(0, "a", step);
  }

  private void runUntilLogged(String text) {
    for (int i = 0; i < 20_000 && world.log.stream().noneMatch(l -> l.contains(text)); i++) {
      world.time.runFor(1);
    }
    assertTrue(world.log.stream().anyMatch(line -> line.contains(text)), text);
  }

  /** Guards against telling callers that a job runs whose end is just being stored. */
  @Test
  void callerThatAsksAsTheLastTaskEndsIsToldOfTheEnd() {
    submit(CellWorld.step(3));
    runUntilLogged("job a COMPLETED");
    ask(1);
    world.time.runFor(MAX_ANSWER_MILLIS);
    assertEquals(List.of(CallerReply.of(JobState.COMPLETED)), replies);
  }

  /** Guards against callers that wait for a job that goes on. */
  @Test
  void callerThatAsksWhileTheJobRunsIsAnsweredSoon() {
    world.workers.runMillis = 5_000;
    submit(CellWorld.step(3));
    world.time.runFor(1_000);
    ask(1);
    world.time.runFor(MAX_ANSWER_MILLIS);
    assertEquals(List.of(CallerReply.of(JobState.RUNNING)), replies);
  }
}
