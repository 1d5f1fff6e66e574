package org.hemlockpick.cell;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.hemlockpick.cell.WorkerPort.RunReport;

/** Creates workers with runs of serving tasks and fillers, as if these had been started there. */
final class RunFactory {
  private final int tailTargetMillis;
  private int jobs;

  RunFactory(int tailTargetMillis) {
    this.tailTargetMillis = tailTargetMillis;
  }

  private Step step(String image, boolean serving) {
    return new Step(
        1,
        new ResourceAmounts(10_000, 1_000, 0),
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
        serving ? tailTargetMillis : 0,
        !serving,
        null);
  }

  static Worker worker(String id) {
    return new Worker(
        new WorkerEntry(
            id,
            1,
            "service",
            id + ":1",
            "zone",
            false,
            0,
            0,
            new ResourceAmounts(64_000, 250_000, 0),
            ImmutableSet.of()));
  }

  Run run(Worker worker, String image, boolean serving) {
    Submission submission =
        new Submission("j" + ++jobs, "q", "", List.of(step(image, serving)), 0, 0, 0, 0);
    Job job = new Job(submission, 0, false);
    job.openDueOccurrences(0);
    Task task = job.stepRuns().get(0).tasks().get(0);
    Run run = new Run(task, 1, worker, Run.State.RUNNING, 0);
    task.setRun(run);
    worker.add(run);
    return run;
  }

  static void report(Run run, long gauge) {
    run.update(new RunReport(run.id(), "", 50, gauge), 0);
  }
}
