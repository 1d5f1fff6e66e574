package org.hemlockpick.cell;

import java.util.Locale;

/** Summarizes the load of the workers and the backlog in one line each. */
final class LoadReport {
  private LoadReport() {}

  /** Returns the load of some workers, in whole cores. */
  static String of(Iterable<Worker> workers, long nowMillis) {
    long capacity = 0;
    long reserved = 0;
    long serving = 0;
    long fillers = 0;
    long used = 0;
    int slowed = 0;
    int open = 0;
    int runs = 0;
    for (Worker worker : workers) {
      open += worker.isSchedulable(nowMillis) ? 1 : 0;
      runs += worker.runs().size();
      capacity += worker.entry().capacity().cpuMillis();
      reserved += worker.entry().capacity().cpuMillis() - worker.free().cpuMillis();
      serving += worker.servingCpu();
      fillers += worker.fillerCpu();
      for (Run run : worker.runs()) {
        used += run.step().filler() ? run.gauge() : 0;
        slowed += run.pace() < 100 ? 1 : 0;
      }
    }
    return String.format(
        Locale.ROOT,
        "%d open, %d runs, cores: %d in all, %d reserved, %d of them serving; fillers want %d, use"
            + " %d, %d runs slowed down",
        open,
        runs,
        cores(capacity),
        cores(reserved),
        cores(serving),
        cores(fillers),
        cores(used),
        slowed);
  }

  /** Returns how many jobs are open and how many tasks wait, as text. */
  static String backlog(JobTable jobs, long nowMillis) {
    long waiting = 0;
    for (Job job : jobs.open()) {
      for (StepRun step : job.stepRuns()) {
        if (!step.isDone() && job.areDependenciesDone(step)) {
          waiting += step.tasks().stream().filter(task -> task.isReady(nowMillis)).count();
        }
      }
    }
    return jobs.open().size() + " open jobs, " + waiting + " tasks wait for capacity";
  }

  private static long cores(long millicores) {
    return millicores / 1_000;
  }
}
