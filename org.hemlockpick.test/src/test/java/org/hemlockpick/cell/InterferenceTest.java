package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.hemlockpick.cell.WorkerPort.RunReport;
import org.hemlockpick.proto.LearnedRecord;
import org.junit.jupiter.api.Test;

/** Fillers of some images let the tails of some serving tasks grow to many times their target. */
class InterferenceTest {
  private static final int TARGET = 50;

  private final Interference interference = new Interference();
  private int jobs;

  private static Step step(String image, boolean serving) {
    return new Step(
        1,
        new Amounts(10_000, 1_000, 0),
        1_000,
        List.of(),
        true,
        false,
        false,
        null,
        null,
        0,
        false,
        serving,
        image,
        serving ? TARGET : 0,
        !serving,
        null);
  }

  private static Worker worker(String id) {
    return new Worker(
        new WorkerEntry(
            id,
            1,
            "service",
            id + ":1",
            "zone",
            false,
            0,
            new Amounts(64_000, 250_000, 0),
            ImmutableSet.of()));
  }

  private Run run(Worker worker, String image, boolean serving) {
    Submission submission =
        new Submission("j" + ++jobs, "q", "", List.of(step(image, serving)), 0, 0, 0, 0);
    Job job = new Job(submission, 0, false);
    job.openDue(0);
    Task task = job.stepRuns().get(0).tasks().get(0);
    Run run = new Run(task, 1, worker, Run.State.RUNNING, 0);
    task.setRun(run);
    worker.add(run);
    return run;
  }

  private static void report(Run run, long gauge) {
    run.report(new RunReport(run.name(), "", 50, gauge), 0);
  }

  @Test
  void tailThatGrowsBesideOneFillerBlamesIt() {
    Worker worker = worker("w");
    Run serving = run(worker, "s", true);
    report(run(worker, "f", false), 9_000);
    report(serving, 30);
    report(serving, 400);
    interference.learn(worker);
    assertTrue(interference.harm("s", "f") >= Interference.HARMFUL);
  }

  @Test
  void whatWasLearnedIsKnownToTheNextHolder() {
    Worker worker = worker("w");
    Run serving = run(worker, "s", true);
    report(run(worker, "f", false), 9_000);
    report(serving, 30);
    report(serving, 400);
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
    Worker worker = worker("w");
    Run serving = run(worker, "s", true);
    report(run(worker, "f", false), 9_000);
    report(serving, 30);
    report(serving, 400);
    interference.learn(worker);
    interference.fade(120_000);
    assertTrue(interference.harm("s", "f") < Interference.HARMFUL);
    assertEquals(interference.harm("s", "other"), interference.harm("s", "f"), 1e-9);
  }

  @Test
  void tailThatFallsBlamesNobody() {
    Worker worker = worker("w");
    Run serving = run(worker, "s", true);
    report(serving, 400);
    report(serving, 200);
    report(run(worker, "f", false), 9_000);
    double before = interference.harm("s", "f");
    interference.learn(worker);
    assertEquals(before, interference.harm("s", "f"));
  }

  @Test
  void knownHarmExplainsAwayTheOthers() {
    Worker worker = worker("w");
    Run serving = run(worker, "s", true);
    report(run(worker, "bad", false), 9_000);
    for (int i = 0; i < 3; i++) {
      report(serving, 30);
      report(serving, 400);
      interference.learn(worker);
    }
    report(run(worker, "new", false), 9_000);
    report(serving, 30);
    report(serving, 400);
    interference.learn(worker);
    assertTrue(interference.harm("s", "new") < Interference.HARMFUL);
  }

  @Test
  void calmReportsClearAFiller() {
    Worker worker = worker("w");
    Run serving = run(worker, "s", true);
    report(run(worker, "f", false), 9_000);
    for (int i = 0; i < 40; i++) {
      report(serving, 20);
      interference.learn(worker);
    }
    assertTrue(interference.harm("s", "f") < 0.05);
  }

  @Test
  void harmfulFillerIsPlacedElsewhere() {
    Worker beside = worker("w1");
    Run serving = run(beside, "s", true);
    Run filler = run(beside, "f", false);
    report(filler, 9_000);
    report(serving, 30);
    report(serving, 400);
    interference.learn(beside);
    Worker empty = worker("w2");
    run(empty, "other", true);
    Worker chosen =
        new InterferencePlacement(interference).choose(filler.task(), List.of(beside, empty));
    assertEquals(empty, chosen);
  }

  @Test
  void servingTasksOfOneImageShareAWorker() {
    Worker same = worker("w1");
    run(same, "s", true);
    Worker other = worker("w2");
    run(other, "t", true);
    Worker empty = worker("w3");
    Task task = run(worker("w4"), "s", true).task();
    Worker chosen =
        new InterferencePlacement(interference).choose(task, List.of(empty, other, same));
    assertEquals(same, chosen);
  }
}
