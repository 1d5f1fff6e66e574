package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.proto.LearnedRecord;
import org.junit.jupiter.api.Test;

/** Fillers of some images let the tails of some serving tasks grow to many times their target. */
class InterferenceTest {
  private static final int TARGET = 50;

  private final Interference interference = new Interference();
  private final RunMaker maker = new RunMaker(TARGET);

  @Test
  void tailThatGrowsBesideOneFillerBlamesIt() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(maker.run(worker, "f", false), 9_000);
    RunMaker.report(serving, 30);
    RunMaker.report(serving, 400);
    interference.learn(worker);
    assertTrue(interference.harm("s", "f") >= Interference.HARMFUL);
  }

  @Test
  void whatWasLearnedIsKnownToTheNextHolder() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(maker.run(worker, "f", false), 9_000);
    RunMaker.report(serving, 30);
    RunMaker.report(serving, 400);
    interference.learn(worker);
    LearnedRecord.Builder record = LearnedRecord.newBuilder();
    interference.store(record, 10);
    Interference next = new Interference();
    next.restore(record.build());
    assertEquals(interference.harm("s", "f"), next.harm("s", "f"));
    assertEquals(interference.harm("s", "other"), next.harm("s", "other"));
  }

  @Test
  void suspicionFadesUntilThePairIsTriedAgain() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(maker.run(worker, "f", false), 9_000);
    RunMaker.report(serving, 30);
    RunMaker.report(serving, 400);
    interference.learn(worker);
    interference.fade(120_000);
    assertTrue(interference.harm("s", "f") < Interference.HARMFUL);
    assertEquals(interference.harm("s", "other"), interference.harm("s", "f"), 1e-9);
  }

  @Test
  void tailThatFallsBlamesNobody() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(serving, 400);
    RunMaker.report(serving, 200);
    RunMaker.report(maker.run(worker, "f", false), 9_000);
    double before = interference.harm("s", "f");
    interference.learn(worker);
    assertEquals(before, interference.harm("s", "f"));
  }

  @Test
  void knownHarmExplainsAwayTheOthers() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(maker.run(worker, "bad", false), 9_000);
    for (int i = 0; i < 3; i++) {
      RunMaker.report(serving, 30);
      RunMaker.report(serving, 400);
      interference.learn(worker);
    }
    RunMaker.report(maker.run(worker, "new", false), 9_000);
    RunMaker.report(serving, 30);
    RunMaker.report(serving, 400);
    interference.learn(worker);
    assertTrue(interference.harm("s", "new") < Interference.HARMFUL);
  }

  @Test
  void calmReportsClearAFiller() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(maker.run(worker, "f", false), 9_000);
    for (int i = 0; i < 40; i++) {
      RunMaker.report(serving, 20);
      interference.learn(worker);
    }
    assertTrue(interference.harm("s", "f") < 0.05);
  }

  @Test
  void harmfulFillerIsPlacedElsewhere() {
    Worker beside = RunMaker.worker("w1");
    Run serving = maker.run(beside, "s", true);
    Run filler = maker.run(beside, "f", false);
    RunMaker.report(filler, 9_000);
    RunMaker.report(serving, 30);
    RunMaker.report(serving, 400);
    interference.learn(beside);
    Worker empty = RunMaker.worker("w2");
    maker.run(empty, "other", true);
    Worker chosen =
        new InterferencePlacement(interference).choose(filler.task(), List.of(beside, empty));
    assertEquals(empty, chosen);
  }

  @Test
  void servingTasksOfOneImageShareAWorker() {
    Worker same = RunMaker.worker("w1");
    maker.run(same, "s", true);
    Worker other = RunMaker.worker("w2");
    maker.run(other, "t", true);
    Worker empty = RunMaker.worker("w3");
    Task task = maker.run(RunMaker.worker("w4"), "s", true).task();
    Worker chosen =
        new InterferencePlacement(interference).choose(task, List.of(empty, other, same));
    assertEquals(same, chosen);
  }
}
