package org.hemlockpick.cell;

import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Logs and counts which tasks of a cell wait and why, and the load of its workers. */
final class CellReports {
  private static final long LOAD_INTERVAL_MILLIS = 2_000;

  private final String cell;
  private final JobTable jobs;
  private final WorkerTable workers;
  private final DecisionLog log;
  private final WaitingTasks waiting = new WaitingTasks();
  private final LongestWaits longestWaits = new LongestWaits();
  private final UnusedCpu unusedCpu = new UnusedCpu();
  private final PendingTaskReporter pending;
  private final LongestWaitReporter longest;
  private long nextLoadAt;

  CellReports(
      String cell,
      JobTable jobs,
      WorkerTable workers,
      PlannerParts planning,
      TakeoverTracker takeover,
      CellJournal journal,
      Function<Job, @Nullable Queue> queues,
      DecisionLog log) {
    this.cell = cell;
    this.jobs = jobs;
    this.workers = workers;
    this.log = log;
    WaitCauses causes = new WaitCauses(takeover, journal, queues);
    WorkerReview.Reviewer reviewer =
        new WorkerReview.Reviewer(workers, planning.candidates(), planning.placement());
    this.pending =
        new PendingTaskReporter(
            cell,
            jobs,
            causes,
            reviewer,
            planning.reservations(),
            planning.reserver(),
            log,
            waiting);
    this.longest =
        new LongestWaitReporter(
            cell, new TaskWaits(jobs), causes, reviewer, longestWaits, unusedCpu, log);
  }

  /** Reports the tasks that wait, if it is time to. */
  void run(long now) {
    pending.run(now);
    longest.run(now);
  }

  /** Reports the load of the workers, if it is time to. */
  void runLoad(long now) {
    if (now < nextLoadAt) {
      return;
    }
    nextLoadAt = now + LOAD_INTERVAL_MILLIS;
    log.decided(
        "load",
        cell,
        LoadReport.of(workers.all(), now),
        LoadReport.backlog(jobs, now) + "; " + unusedCpu.describe(workers, now));
  }

  void addGauges(Map<String, Long> gauges, long now) {
    waiting.addGauges(gauges);
    longestWaits.addGauges(gauges);
    unusedCpu.addGauges(gauges, workers, now);
  }
}
