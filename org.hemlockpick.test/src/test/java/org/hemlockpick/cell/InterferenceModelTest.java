package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockpick.proto.LearnedRecord;
import org.junit.jupiter.api.Test;

/** Tests how fillers are blamed for tails of serving tasks that grow beside them. */
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
    assertTrue(interference.pressure("s", "f") >= InterferenceModel.HARMFUL_PRESSURE);
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
    assertEquals(interference.pressure("s", "f"), next.pressure("s", "f"));
    assertEquals(interference.pressure("s", "other"), next.pressure("s", "other"));
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
    assertTrue(interference.pressure("s", "f") < InterferenceModel.HARMFUL_PRESSURE);
    assertEquals(interference.pressure("s", "other"), interference.pressure("s", "f"), 0.05);
  }

  @Test
  void tailThatFallsBlamesNobody() {
    Worker worker = RunFactory.worker("w");
    Run serving = factory.run(worker, "s", true);
    RunFactory.report(serving, 400);
    RunFactory.report(serving, 200);
    RunFactory.report(factory.run(worker, "f", false), 9_000);
    double before = interference.pressure("s", "f");
    interference.learn(worker);
    assertEquals(before, interference.pressure("s", "f"));
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
    assertTrue(interference.pressure("s", "new") < InterferenceModel.HARMFUL_PRESSURE);
  }

  @Test
  void tailThatStaysLowClearsAFiller() {
    Worker worker = RunFactory.worker("w");
    Run serving = factory.run(worker, "s", true);
    for (int i = 0; i < 10; i++) {
      RunFactory.report(serving, 20);
      interference.learn(worker);
    }
    RunFactory.report(factory.run(worker, "f", false), 9_000);
    double before = interference.pressure("s", "f");
    for (int i = 0; i < 40; i++) {
      RunFactory.report(serving, 20);
      interference.learn(worker);
    }
    assertTrue(interference.pressure("s", "f") < before / 3);
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
        new InterferenceAwarePlacement(interference, new SettableClock())
            .choose(filler.task(), List.of(shared, empty));
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
        new InterferenceAwarePlacement(interference, new SettableClock())
            .choose(task, List.of(empty, other, same));
    assertEquals(same, chosen);
  }
}
