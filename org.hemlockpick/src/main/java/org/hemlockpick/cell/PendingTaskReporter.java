package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Function;
import org.hemlockpick.cell.ReservationTable.Reservation;
import org.jspecify.annotations.Nullable;

/**
 * Logs once a second why long-running tasks do not run though the steps they depend on are done.
 * The number of lines is limited; the tasks that have waited longest come first.
 */
final class PendingTaskReporter {
  private static final long INTERVAL_MILLIS = 1_000;
  private static final int MAX_LINES = 10;

  private final String cell;
  private final JobTable jobs;
  private final WorkerTable workers;
  private final Candidates candidates;
  private final ReservationTable reservations;
  private final CapacityReserver reserver;
  private final TakeoverTracker takeover;
  private final CellJournal journal;
  private final Function<Job, @Nullable Queue> queues;
  private final DecisionLog log;
  private final WaitingTasks waiting;

  /** Tasks that were waiting at the last check, and when each was first seen waiting. */
  private Map<Task, Long> waitingSince = new HashMap<>();

  private long nextReportAt;
  private int linesLeft;

  PendingTaskReporter(
      String cell,
      JobTable jobs,
      WorkerTable workers,
      Candidates candidates,
      ReservationTable reservations,
      CapacityReserver reserver,
      TakeoverTracker takeover,
      CellJournal journal,
      Function<Job, @Nullable Queue> queues,
      DecisionLog log,
      WaitingTasks waiting) {
    this.cell = cell;
    this.jobs = jobs;
    this.workers = workers;
    this.candidates = candidates;
    this.reservations = reservations;
    this.reserver = reserver;
    this.takeover = takeover;
    this.journal = journal;
    this.queues = queues;
    this.log = log;
    this.waiting = waiting;
  }

  /** Reports the waiting tasks if a second has passed since the last report. */
  void run(long now) {
    if (now < nextReportAt) {
      return;
    }
    nextReportAt = now + INTERVAL_MILLIS;
    Map<Task, Long> found = new HashMap<>();
    for (Job job : jobs.open()) {
      for (StepRun step : job.stepRuns()) {
        if (step.step().longRunning() && job.areDependenciesDone(step)) {
          addWaiting(step, now, found);
        }
      }
    }
    waitingSince = found;
    report(now);
  }

  private void addWaiting(StepRun step, long now, Map<Task, Long> found) {
    for (Task task : step.tasks()) {
      if (!isRunning(task)) {
        found.put(task, waitingSince.getOrDefault(task, now));
      }
    }
  }

  private static boolean isRunning(Task task) {
    Run run = task.run();
    return run != null && run.state() == Run.State.RUNNING && !run.worker().isUnresponsive();
  }

  private void report(long now) {
    List<Map.Entry<Task, Long>> overdue = new ArrayList<>();
    for (Map.Entry<Task, Long> entry : waitingSince.entrySet()) {
      if (now - entry.getValue() >= INTERVAL_MILLIS) {
        overdue.add(entry);
      }
    }
    overdue.sort(Map.Entry.comparingByValue(Comparator.naturalOrder()));
    ShortTaskPool shortTaskPool = new ShortTaskPool(candidates.schedulable(now));
    waiting.clear();
    linesLeft = MAX_LINES;
    for (Map.Entry<Task, Long> entry : overdue) {
      report(entry.getKey(), now - entry.getValue(), shortTaskPool, now);
    }
    if (overdue.size() > MAX_LINES) {
      String more = overdue.size() - MAX_LINES + " more tasks that last";
      log.decided("wait", cell, "tasks wait", more);
    }
  }

  private void report(Task task, long waitedMillis, ShortTaskPool shortTaskPool, long now) {
    Queue queue = queues.apply(task.job());
    Run run = task.run();
    if (run != null || task.orphan() != null) {
      log(task, waitedMillis, WaitReason.LAST_RUN, describeLastRun(task, now));
    } else if (queue == null) {
      log(task, waitedMillis, WaitReason.NO_QUEUE, task.job().submission().queue());
    } else if (!journal.allowsOrders(now)) {
      String age = journal.millisSinceRenewal() + " ms since the last renewal";
      log(task, waitedMillis, WaitReason.NO_ORDERS, age);
    } else if (takeover.blocksStart(task)) {
      log(task, waitedMillis, WaitReason.TAKEOVER, takeover.describeUnaccounted());
    } else if (!journal.isVisibleToSuccessor(task.job().rowVersion())) {
      log(task, waitedMillis, WaitReason.LEASE_NOT_RENEWED, "row " + task.job().rowVersion());
    } else if (!task.isReady(now)) {
      log(task, waitedMillis, WaitReason.PAUSE, (task.notBefore() - now) + " ms left");
    } else if (linesLeft == 0) {
      // Looking through the workers takes long.
      waiting.add(WaitReason.NOT_EXAMINED, waitedMillis);
    } else {
      reportWorkers(task, queue, waitedMillis, shortTaskPool, now);
    }
  }

  private String describeLastRun(Task task, long now) {
    Run run = task.run() != null ? task.run() : task.orphan();
    if (run == null) {
      return "";
    }
    Worker worker = run.worker();
    IneligibleReason reason = worker.ineligibleReason(now);
    return String.format(
        Locale.ROOT,
        "attempt %d %s at %s, worker %s, its lease may last %d ms, cell held exclusively until %d"
            + " ms ago",
        run.attempt(),
        run.state(),
        worker.id(),
        reason == null ? "open" : reason.text(),
        worker.leases().remainingMillis(now),
        now - journal.exclusiveUntil(now));
  }

  /**
   * Counts the workers of the queue's service by the reason why each is not eligible for the task.
   */
  private void reportWorkers(
      Task task, Queue queue, long waitedMillis, ShortTaskPool shortTaskPool, long now) {
    boolean mayBePaused = candidates.mayBePaused(task, queue, now);
    Map<IneligibleReason, Integer> counts = new EnumMap<>(IneligibleReason.class);
    int eligible = 0;
    Worker mostFree = null;
    for (Worker worker : workers.all()) {
      if (!worker.entry().service().equals(queue.service())) {
        continue;
      }
      IneligibleReason reason = candidates.ineligibleReason(task, queue, worker, now, mayBePaused);
      if (reason == null && !task.mayHaveStarted() && shortTaskPool.contains(worker)) {
        reason = IneligibleReason.SHORT_TASKS_ONLY;
      }
      if (reason == null) {
        eligible++;
      } else {
        counts.merge(reason, 1, Integer::sum);
      }
      if (reason == IneligibleReason.NO_CAPACITY
          && (mostFree == null || hasMoreFreeCpu(worker, mostFree))) {
        mostFree = worker;
      }
    }
    waiting.setWorkers(counts);
    StringJoiner text = new StringJoiner(", ");
    text.add(eligible + " workers open to it");
    counts.forEach((reason, count) -> text.add(count + " " + reason.text()));
    if (mostFree != null) {
      text.add("largest room without: " + amounts(mostFree.free()) + " at " + mostFree.id());
    }
    Reservation reservation = reservations.of(task);
    if (reservation != null) {
      text.add(
          reservation.worker().id()
              + " reserved for it for "
              + (now - reservation.sinceMillis())
              + " ms");
    } else if (task.mayHaveStarted()) {
      text.add(reserver.describeDenial(task, queue, now));
    }
    text.add("wants " + amounts(task.step().step().reserved()));
    WaitReason reason = eligible > 0 ? WaitReason.NOT_PLACED : WaitReason.NO_WORKER;
    log(task, waitedMillis, reason, text.toString());
  }

  private static boolean hasMoreFreeCpu(Worker one, Worker other) {
    return one.free().cpuMillis() > other.free().cpuMillis();
  }

  private static String amounts(ResourceAmounts amounts) {
    String gpus = amounts.gpus() == 0 ? "" : " " + amounts.gpus() + " gpu";
    return amounts.cpuMillis() + " mcpu " + amounts.memoryMb() + " MB" + gpus;
  }

  private void log(Task task, long waitedMillis, WaitReason reason, String details) {
    waiting.add(reason, waitedMillis);
    if (linesLeft == 0) {
      return;
    }
    linesLeft--;
    String age = "waits for " + waitedMillis + " ms or more, ";
    log.decided("wait", task.id().toString(), reason.text(), age + details);
  }
}
