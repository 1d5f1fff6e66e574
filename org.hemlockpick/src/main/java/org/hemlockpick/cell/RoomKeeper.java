package org.hemlockpick.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.hemlockpick.cell.ReservationTable.Reservation;
import org.jspecify.annotations.Nullable;

/**
 * Keeps room for tasks that last, have lost their run and find none: nothing else is started at the
 * worker that will have room first. Short tasks that stay there for too long are stopped.
 */
final class RoomKeeper {
  /** Share of a service's open workers that may be kept, in percent: more than one zone of six. */
  private static final int MOST_KEPT_PERCENT = 20;

  /** Time without a run after which others are stopped; a task must run again within 9 s. */
  private static final long STOP_AFTER_MILLIS = 5_000;

  /** Time for which a reservation waits at least for runs to end by themselves. */
  private static final long PATIENCE_MILLIS = 300;

  /** Time before the end of the lease of a lost worker from which room is kept for its tasks. */
  private static final long FORESIGHT_MILLIS = 1_000;

  /** Most reservations that one plan adds; bounds its length. */
  private static final int MAX_NEW = 8;

  private final WorkerTable workers;
  private final Candidates candidates;
  private final ReservationTable table;
  private final RoomForecast forecast;

  /** Stops a run for a reason. */
  private final BiConsumer<Run, String> stop;

  /** Returns the queue of a job; null if it is in no configuration. */
  private final Function<Job, @Nullable Queue> queues;

  private final DecisionLog log;
  private int newLeft;

  /** Time of the first review: before it nothing is known of when a task ran last. */
  private long begunAt = Long.MAX_VALUE;

  RoomKeeper(
      WorkerTable workers,
      Candidates candidates,
      ReservationTable table,
      RoomForecast forecast,
      BiConsumer<Run, String> stop,
      Function<Job, @Nullable Queue> queues,
      DecisionLog log) {
    this.workers = workers;
    this.candidates = candidates;
    this.table = table;
    this.forecast = forecast;
    this.stop = stop;
    this.queues = queues;
    this.log = log;
  }

  /** Ends the reservations that have no use any more, and makes room for those that wait. */
  void review(long now) {
    newLeft = MAX_NEW;
    begunAt = Math.min(begunAt, now);
    Set<Worker> seen = new HashSet<>();
    for (Reservation reservation : table.all()) {
      if (!isUseful(reservation, now)) {
        table.remove(reservation);
      } else if (isOverdue(reservation, now) && seen.add(reservation.worker())) {
        makeRoom(reservation, now);
      }
    }
    keepForLost(now);
  }

  private boolean isUseful(Reservation reservation, long now) {
    Task task = reservation.task();
    Worker worker = reservation.worker();
    Queue queue = queues.apply(task.job());
    return queue != null
        && isAwaited(task, now)
        && candidates.suits(task, queue, worker, now)
        && table.at(worker).fitsInto(RoomForecast.roomBesideLasting(worker));
  }

  /** Tells whether a task waits for room, or will as soon as its run is given up. */
  private static boolean isAwaited(Task task, long now) {
    if (task.job().state().isFinal()) {
      return false;
    }
    Run run = task.run();
    return run == null ? task.isReady(now) : isNearlyLost(run.worker(), now);
  }

  private static boolean isNearlyLost(Worker worker, long now) {
    boolean isLost = worker.isSilent() || !worker.isListed();
    return isLost && worker.leaseLeft(now) <= FORESIGHT_MILLIS;
  }

  private void keepForLost(long now) {
    for (Worker worker : workers.all()) {
      if (isNearlyLost(worker, now) && !keepFor(worker.runs(), now)) {
        return;
      }
    }
  }

  /** Keeps room for the tasks of some runs; returns false if there is none for one of them. */
  private boolean keepFor(Collection<Run> runs, long now) {
    for (Run run : runs) {
      Task task = run.task();
      Queue queue = queues.apply(task.job());
      boolean isOwn = task.run() == run && isKeepable(run.step());
      boolean isWanted = isOwn && table.of(task) == null && isAwaited(task, now);
      if (isWanted && queue != null && !reserve(task, queue, now)) {
        return false;
      }
    }
    return true;
  }

  /** Tells whether room can be kept for the tasks of a step one by one. */
  static boolean isKeepable(Step step) {
    return step.longRunning() && !step.filler() && !step.gang();
  }

  private boolean isOverdue(Reservation reservation, long now) {
    long lastRanAt = Math.max(begunAt, reservation.task().lastRanAt());
    return reservation.task().run() == null
        && now >= reservation.sinceMillis() + PATIENCE_MILLIS
        && now >= lastRanAt + STOP_AFTER_MILLIS;
  }

  private void makeRoom(Reservation reservation, long now) {
    Worker worker = reservation.worker();
    for (Run run : RoomForecast.toStop(worker, table.at(worker), now)) {
      stop.accept(run, "makes room for " + reservation.task().id());
    }
  }

  /** Keeps room for a task that has found none, if some can be kept. */
  boolean reserve(Task task, Queue queue, long now) {
    Worker worker = newLeft > 0 ? best(task, queue, now) : null;
    if (worker == null) {
      return false;
    }
    newLeft--;
    table.add(new Reservation(task, worker, now));
    Amounts wanted = table.at(worker);
    String wait = forecast.millisUntil(worker, wanted, now) + " ms until it has room";
    log.decided("reserve", task.id().toString(), worker.id(), wait);
    return true;
  }

  private @Nullable Worker best(Task task, Queue queue, long now) {
    boolean mayKeepMore = mayKeepMore(queue.service(), now);
    Amounts wanted = task.step().step().reserved();
    Worker best = null;
    long bestWait = Long.MAX_VALUE;
    for (Worker worker : mayKeepMore ? workers.all() : List.copyOf(table.workers())) {
      Amounts all = table.at(worker).plus(wanted);
      if (!candidates.suits(task, queue, worker, now)
          || !all.fitsInto(RoomForecast.roomBesideLasting(worker))) {
        continue;
      }
      long wait = forecast.millisUntil(worker, all, now);
      if (wait < bestWait) {
        best = worker;
        bestWait = wait;
      }
    }
    return best;
  }

  private boolean mayKeepMore(String service, long now) {
    int open = 0;
    int kept = 0;
    for (Worker worker : workers.all()) {
      if (worker.isOpen(now) && worker.entry().service().equals(service)) {
        open++;
        kept += table.workers().contains(worker) ? 1 : 0;
      }
    }
    return kept < Math.max(1, open * MOST_KEPT_PERCENT / 100);
  }
}
