package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import org.hemlockpick.cell.ReservationTable.Reservation;

/**
 * Logs once a second why long-running tasks do not run though the steps they depend on are done.
 * The number of lines is limited; the tasks that have waited longest come first.
 */
final class PendingTaskReporter {
  private static final long INTERVAL_MILLIS = 1_000;
  private static final int MAX_LINES = 10;

  private final String cell;
  private final JobTable jobs;
  private final WaitCauses causes;
  private final WorkerReview.Reviewer reviewer;
  private final ReservationTable reservations;
  private final CapacityReserver reserver;
  private final DecisionLog log;
  private final WaitingTasks waiting;

  /** Tasks that were waiting at the last check, and when each was first seen waiting. */
  private Map<Task, Long> waitingSince = new HashMap<>();

  private long nextReportAt;
  private int linesLeft;

  PendingTaskReporter(
      String cell,
      JobTable jobs,
      WaitCauses causes,
      WorkerReview.Reviewer reviewer,
      ReservationTable reservations,
      CapacityReserver reserver,
      DecisionLog log,
      WaitingTasks waiting) {
    this.cell = cell;
    this.jobs = jobs;
    this.causes = causes;
    this.reviewer = reviewer;
    this.reservations = reservations;
    this.reserver = reserver;
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
      if (!WaitCauses.isRunning(task)) {
        found.put(task, waitingSince.getOrDefault(task, now));
      }
    }
  }

  private void report(long now) {
    List<Map.Entry<Task, Long>> overdue = new ArrayList<>();
    for (Map.Entry<Task, Long> entry : waitingSince.entrySet()) {
      if (now - entry.getValue() >= INTERVAL_MILLIS) {
        overdue.add(entry);
      }
    }
    overdue.sort(Map.Entry.comparingByValue(Comparator.naturalOrder()));
    ShortTaskPool shortTaskPool = reviewer.shortTaskPool(now);
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
    WaitReason reason = causes.reason(task, now);
    Queue queue = causes.queue(task);
    if (reason != null) {
      log(task, waitedMillis, reason, causes.describe(task, reason, now));
    } else if (linesLeft == 0) {
      // Looking through the workers takes long.
      waiting.add(WaitReason.NOT_EXAMINED, waitedMillis);
    } else if (queue != null) {
      reportWorkers(task, queue, waitedMillis, shortTaskPool, now);
    }
  }

  /**
   * Counts the workers of the queue's service by the reason why each is not eligible for the task.
   */
  private void reportWorkers(
      Task task, Queue queue, long waitedMillis, ShortTaskPool shortTaskPool, long now) {
    WorkerReview review = reviewer.review(task, queue, shortTaskPool, now);
    waiting.setWorkers(review.counts());
    StringJoiner text = new StringJoiner(", ");
    review.describe(text);
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
    text.add("wants " + WorkerReview.amounts(task.step().step().reserved()));
    log(task, waitedMillis, review.reason(), text.toString());
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
