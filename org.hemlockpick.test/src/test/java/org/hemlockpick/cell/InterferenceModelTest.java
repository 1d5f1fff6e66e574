package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.proto.LearnedRecord;
import org.junit.jupiter.api.Test;

/** Tests how fillers are blamed for tails of serving tasks that grow to many times their target. */
class InterferenceModelTest {
  private static final int TARGET = 50;

  private final InterferenceModel interference = new InterferenceModel();
  private final RunFactory factory = new RunFactory(TARGET);

  @Test
  void tailThatGrowsBesideOneFillerBlamesIt() {
    Worker worker = RunFactory.worker("w");
    Run serving = factory.run(worker, "s", true);
    RunFactory.report(factory.run(worker, "f", false), 9_000);
    RunFactory.report(serving, 30);
    RunFactory.report(serving, 400);
    interference.learn(worker);
    assertTrue(interference.harmProbability("s", "f") >= InterferenceModel.HARMFUL_PROBABILITY);
  }

  @Test
  void whatWasLearnedIsKnownToTheNextHolder() {
    Worker worker = RunFactory.worker("w");
    Run serving = factory.run(worker, "s", true);
    RunFactory.report(factory.run(worker, "f", false), 9_000);
    RunFactory.report(serving, 30);
    RunFactory.report(serving, 400);
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
    Worker worker = RunFactory.worker("w");
    Run serving = factory.run(worker, "s", true);
    RunFactory.report(factory.run(worker, "f", false), 9_000);
    RunFactory.report(serving, 30);
    RunFactory.report(serving, 400);
    interference.learn(worker);
    interference.decay(120_000);
    assertTrue(interference.harmProbability("s", "f") < InterferenceModel.HARMFUL_PROBABILITY);
    assertEquals(
        interference.harmProbability("s", "other"), interference.harmProbability("s", "f"), 1e-9);
  }

  @Test
  void tailThatFallsBlamesNobody() {
    Worker worker = RunFactory.worker("w");
    Run serving = factory.run(worker, "s", true);
    RunFactory.report(serving, 400);
    RunFactory.report(serving, 200);
    RunFactory.report(factory.run(worker, "f", false), 9_000);
    double before = interference.harmProbability("s", "f");
    interference.learn(worker);
    assertEquals(before, interference.harmProbability("s", "f"));
  }

  @Test
  void knownHarmExplainsAwayTheOthers() {
    Worker worker = RunFactory.worker("w");
    Run serving = factory.run(worker, "s", true);
    RunFactory.report(factory.run(worker, "bad", false), 9_000);
    for (int i = 0; i < 3; i++) {
      RunFactory.report(serving, 30);
      RunFactory.report(serving, 400);
      interference.learn(worker);
    }
    RunFactory.report(factory.run(worker, "new", false), 9_000);
    RunFactory.report(serving, 30);
    RunFactory.report(serving, 400);
    interference.learn(worker);
    assertTrue(interference.harmProbability("s", "new") < InterferenceModel.HARMFUL_PROBABILITY);
  }

  @Test
  void calmReportsClearAFiller() {
    Worker worker = RunFactory.worker("w");
    Run serving = factory.run(worker, "s", true);
    RunFactory.report(factory.run(worker, "f", false), 9_000);
    for (int i = 0; i < 40; i++) {
      RunFactory.report(serving, 20);
      interference.learn(worker);
    }
    assertTrue(interference.harmProbability("s", "f") < 0.05);
  }

  @Test
  void harmfulFillerIsPlacedElsewhere() {
    Worker shared = RunFactory.worker("w1");
    Run serving = factory.run(shared, "s", true);
    Run filler = factory.run(shared, "f", false);
    RunFactory.report(filler, 9_000);
    RunFactory.report(serving, 30);
    RunFactory.report(serving, 400);
    interference.learn(shared);
    Worker empty = RunFactory.worker("w2");
    factory.run(empty, "other", true);
    Worker chosen =
        new InterferenceAwarePlacement(interference).choose(filler.task(), List.of(shared, empty));
    assertEquals(empty, chosen);
  }

  @Test
  void servingTasksOfOneImageShareAWorker() {
    Worker same = RunFactory.worker("w1");
    factory.run(same, "s", true);
    Worker other = RunFactory.worker("w2");
    factory.run(other, "t", true);
    Worker empty = RunFactory.worker("w3");
    Task task = factory.run(RunFactory.worker("w4"), "s", true).task();
    Worker chosen =
        new InterferenceAwarePlacement(interference).choose(task, List.of(empty, other, same));
    assertEquals(same, chosen);
  }
}
