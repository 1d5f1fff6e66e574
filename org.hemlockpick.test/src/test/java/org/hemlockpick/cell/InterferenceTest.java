package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.proto.LearnedRecord;
import org.junit.jupiter.api.Test;

/** Fillers of some images let the tails of some serving tasks grow to many times their target. */
class InterferenceTest {
  private static final int TARGET = 50;

  private final InterferenceModel interference = new InterferenceModel();
  private final RunMaker maker = new RunMaker(TARGET);

  @Test
  void tailThatGrowsBesideOneFillerBlamesIt() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(maker.run(worker, "f", false), 9_000);
    RunMaker.report(serving, 30);
    RunMaker.report(serving, 400);
    interference.learn(worker);
    assertTrue(interference.harmProbability("s", "f") >= InterferenceModel.HARMFUL_PROBABILITY);
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
    InterferenceModel next = new InterferenceModel();
    next.restore(record.build());
    assertEquals(interference.harmProbability("s", "f"), next.harmProbability("s", "f"));
    assertEquals(interference.harmProbability("s", "other"), next.harmProbability("s", "other"));
  }

  @Test
  void suspicionFadesUntilThePairIsTriedAgain() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(maker.run(worker, "f", false), 9_000);
    RunMaker.report(serving, 30);
    RunMaker.report(serving, 400);
    interference.learn(worker);
    interference.decay(120_000);
    assertTrue(interference.harmProbability("s", "f") < InterferenceModel.HARMFUL_PROBABILITY);
    assertEquals(
        interference.harmProbability("s", "other"), interference.harmProbability("s", "f"), 1e-9);
  }

  @Test
  void tailThatFallsBlamesNobody() {
    Worker worker = RunMaker.worker("w");
    Run serving = maker.run(worker, "s", true);
    RunMaker.report(serving, 400);
    RunMaker.report(serving, 200);
    RunMaker.report(maker.run(worker, "f", false), 9_000);
    double before = interference.harmProbability("s", "f");
    interference.learn(worker);
    assertEquals(before, interference.harmProbability("s", "f"));
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
    assertTrue(interference.harmProbability("s", "new") < InterferenceModel.HARMFUL_PROBABILITY);
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
    assertTrue(interference.harmProbability("s", "f") < 0.05);
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
        new InterferenceAwarePlacement(interference).choose(filler.task(), List.of(beside, empty));
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
        new InterferenceAwarePlacement(interference).choose(task, List.of(empty, other, same));
    assertEquals(same, chosen);
  }
}
