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
 * Tells once a second in the log why tasks that last do not run, though the steps that they depend
 * on are done: of those that have waited longest, up to a number of lines.
 */
final class LastingWaits {
  private static final long PAUSE_MILLIS = 1_000;
  private static final int MAX_LINES = 10;

  private final String cell;
  private final JobTable jobs;
  private final WorkerTable workers;
  private final Candidates candidates;
  private final ReservationTable reservations;
  private final TakeOver takeOver;
  private final CellJournal journal;
  private final Function<Job, @Nullable Queue> queues;
  private final DecisionLog log;

  /** Tasks that were waiting at the last look, and when they were first seen to. */
  private Map<Task, Long> waitingSince = new HashMap<>();

  private long nextLookAt;

  LastingWaits(
      String cell,
      JobTable jobs,
      WorkerTable workers,
      Candidates candidates,
      ReservationTable reservations,
      TakeOver takeOver,
      CellJournal journal,
      Function<Job, @Nullable Queue> queues,
      DecisionLog log) {
    this.cell = cell;
    this.jobs = jobs;
    this.workers = workers;
    this.candidates = candidates;
    this.reservations = reservations;
    this.takeOver = takeOver;
    this.journal = journal;
    this.queues = queues;
    this.log = log;
  }

  /** Tells of the tasks that wait if a second has passed since the last look. */
  void run(long now) {
    if (now < nextLookAt) {
      return;
    }
    nextLookAt = now + PAUSE_MILLIS;
    Map<Task, Long> waiting = new HashMap<>();
    for (Job job : jobs.open()) {
      for (StepRun step : job.stepRuns()) {
        if (step.step().longRunning() && job.areDependenciesDone(step)) {
          addWaiting(step, now, waiting);
        }
      }
    }
    waitingSince = waiting;
    tell(now);
  }

  private void addWaiting(StepRun step, long now, Map<Task, Long> waiting) {
    for (Task task : step.tasks()) {
      if (!isKnownToRun(task)) {
        waiting.put(task, waitingSince.getOrDefault(task, now));
      }
    }
  }

  private static boolean isKnownToRun(Task task) {
    Run run = task.run();
    return run != null && run.state() == Run.State.RUNNING && !run.worker().isSilent();
  }

  private void tell(long now) {
    List<Map.Entry<Task, Long>> late = new ArrayList<>();
    for (Map.Entry<Task, Long> entry : waitingSince.entrySet()) {
      if (now - entry.getValue() >= PAUSE_MILLIS) {
        late.add(entry);
      }
    }
    late.sort(Map.Entry.comparingByValue(Comparator.naturalOrder()));
    SetApart apart = new SetApart(workers.all(), now);
    for (Map.Entry<Task, Long> entry : late.subList(0, Math.min(MAX_LINES, late.size()))) {
      tell(entry.getKey(), now - entry.getValue(), apart, now);
    }
    if (late.size() > MAX_LINES) {
      String more = late.size() - MAX_LINES + " more tasks that last";
      log.decided("wait", cell, "tasks wait", more);
    }
  }

  private void tell(Task task, long waited, SetApart apart, long now) {
    Queue queue = queues.apply(task.job());
    Run run = task.run();
    if (run != null || task.stray() != null) {
      decided(task, waited, "last run may go on", lastRun(task, now));
    } else if (queue == null) {
      decided(task, waited, "queue not in the configuration", task.job().submission().queue());
    } else if (!journal.allowsOrders(now)) {
      String age = journal.millisSinceRenewal() + " ms since the last renewal";
      decided(task, waited, "no orders allowed", age);
    } else if (takeOver.blocks(task)) {
      decided(task, waited, "blocked by the take-over", takeOver.unaccountedText());
    } else if (!journal.isVisibleToSuccessor(task.job().rowVersion())) {
      decided(task, waited, "lease not renewed since its job", "row " + task.job().rowVersion());
    } else if (!task.isReady(now)) {
      decided(task, waited, "pause after a failure", (task.notBefore() - now) + " ms left");
    } else {
      tellWorkers(task, queue, waited, apart, now);
    }
  }

  private String lastRun(Task task, long now) {
    Run run = task.run() != null ? task.run() : task.stray();
    if (run == null) {
      return "";
    }
    Worker worker = run.worker();
    Obstacle obstacle = worker.obstacle(now);
    return String.format(
        Locale.ROOT,
        "attempt %d %s at %s, worker %s, its lease may last %d ms, cell held alone until %d ms ago",
        run.attempt(),
        run.state(),
        worker.id(),
        obstacle == null ? "open" : obstacle.text(),
        worker.leaseLeft(now),
        now - journal.exclusiveUntil(now));
  }

  /** Counts the workers of the queue's service by what keeps each from being given the task. */
  private void tellWorkers(Task task, Queue queue, long waited, SetApart apart, long now) {
    boolean mayBePaused = candidates.mayBePaused(task, queue, now);
    Map<Obstacle, Integer> counts = new EnumMap<>(Obstacle.class);
    int open = 0;
    Worker freest = null;
    for (Worker worker : workers.all()) {
      if (!worker.entry().service().equals(queue.service())) {
        continue;
      }
      Obstacle obstacle = candidates.obstacle(task, queue, worker, now, mayBePaused);
      if (obstacle == null && !task.mayHaveRun() && apart.contains(worker)) {
        obstacle = Obstacle.SET_APART;
      }
      if (obstacle == null) {
        open++;
      } else {
        counts.merge(obstacle, 1, Integer::sum);
      }
      if (obstacle == Obstacle.NO_ROOM && (freest == null || isFreer(worker, freest))) {
        freest = worker;
      }
    }
    StringJoiner text = new StringJoiner(", ");
    text.add(open + " workers open to it");
    counts.forEach((obstacle, count) -> text.add(count + " " + obstacle.text()));
    if (freest != null) {
      text.add("largest room without: " + amounts(freest.free()) + " at " + freest.id());
    }
    Reservation kept = reservations.of(task);
    if (kept != null) {
      text.add(kept.worker().id() + " kept for it for " + (now - kept.sinceMillis()) + " ms");
    }
    text.add("wants " + amounts(task.step().step().reserved()));
    decided(task, waited, open > 0 ? "not placed" : "no worker", text.toString());
  }

  private static boolean isFreer(Worker one, Worker other) {
    return one.free().cpuMillis() > other.free().cpuMillis();
  }

  private static String amounts(Amounts amounts) {
    String gpus = amounts.gpus() == 0 ? "" : " " + amounts.gpus() + " gpu";
    return amounts.cpuMillis() + " mcpu " + amounts.memoryMb() + " MB" + gpus;
  }

  private void decided(Task task, long waited, String outcome, String reason) {
    String age = "waits for " + waited + " ms or more, ";
    log.decided("wait", task.id().toString(), outcome, age + reason);
  }
}
