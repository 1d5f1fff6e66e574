package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Finds the workers that are eligible for a task. */
final class Candidates {
  /**
   * Maximum time that a last attempt waits for a worker whose newest run has not failed, in
   * milliseconds.
   */
  private static final long LAST_ATTEMPT_WAIT_MILLIS = 5_000;

  /**
   * Time after a failure or a start at a suspect worker after which it may be given a task that has
   * waited, in milliseconds.
   */
  private static final long RESORT_INTERVAL_MILLIS = 500;

  private final WorkerTable workers;
  private final ReservationTable reservations;

  Candidates(WorkerTable workers, ReservationTable reservations) {
    this.workers = workers;
    this.reservations = reservations;
  }

  /** Returns the workers that may be assigned tasks now. */
  SchedulableWorkers schedulable(long now) {
    return new SchedulableWorkers(workers.all(), now);
  }

  /** Returns the workers that are eligible for a task and have enough free capacity. */
  List<Worker> of(Task task, Queue queue, SchedulableWorkers schedulable) {
    long now = schedulable.nowMillis();
    List<Worker> suitable = schedulable.of(queue.service());
    List<Worker> candidates = new ArrayList<>();
    boolean mayBePaused = task.failures() == 0 && areAllPaused(task, suitable, now);
    for (Worker worker : suitable) {
      if (hasLabel(task, worker) && loadReason(task, worker, now, mayBePaused) == null) {
        candidates.add(worker);
      }
    }
    if (isLastAttempt(task, queue) && waitsForHealthy(task, suitable, now)) {
      candidates.removeIf(worker -> worker.health().hasLastRunFailed());
    }
    return preferRecovered(candidates, queue);
  }

  /**
   * Returns the workers with enough free capacity for a task that has waited for long and was given
   * none of the eligible ones though most of the capacity is free. What is only believed of them,
   * or of the task, rules none out; a suspect worker is given one task at a time.
   */
  List<Worker> lastResorts(Task task, Queue queue, SchedulableWorkers schedulable) {
    long now = schedulable.nowMillis();
    List<Worker> resorts = new ArrayList<>();
    if (!task.hasWaited(now) || !schedulable.isHalfFree(queue.service())) {
      return resorts;
    }
    for (Worker worker : schedulable.of(queue.service())) {
      boolean hasRoom = hasLabel(task, worker) && capacityReason(task, worker, now) == null;
      if (hasRoom && isResort(task.step(), worker, now)) {
        resorts.add(worker);
      }
    }
    return preferRecovered(resorts, queue);
  }

  /**
   * Returns the workers for a task of a queue: one of the most urgent queues gets none that is
   * still slow after an evacuation while there are others.
   */
  private static List<Worker> preferRecovered(List<Worker> found, Queue queue) {
    if (queue.priority() > 0) {
      return found;
    }
    List<Worker> recovered = new ArrayList<>(found);
    recovered.removeIf(worker -> worker.admission().isRecovering());
    return recovered.isEmpty() ? found : recovered;
  }

  private static boolean isResort(StepRun step, Worker worker, long now) {
    long earliest = now - RESORT_INTERVAL_MILLIS;
    WorkerHealth health = worker.health();
    return !health.isSuspect()
        || (health.failedAt() <= earliest && !hasTestSince(earliest, step, worker, now));
  }

  /** Returns whether one more failure of a task fails its job. */
  static boolean isLastAttempt(Task task, Queue queue) {
    int failures = task.failures();
    return failures > 0 && failures + 1 >= queue.maxAttempts() && !task.step().step().longRunning();
  }

  /**
   * Returns whether a task may be placed on a paused worker, which is so if every suitable worker
   * is paused. Their failures may have been caused by the tasks that ran there, so a task that has
   * not failed yet need not wait for the pauses to end.
   */
  boolean mayBePaused(Task task, Queue queue, long now) {
    return task.failures() == 0 && areAllPaused(task, schedulable(now).of(queue.service()), now);
  }

  /**
   * Returns whether a task is not placed on workers whose newest run has failed, as it has one
   * attempt left and another worker may do.
   */
  boolean waitsForHealthy(Task task, Queue queue, long now) {
    return isLastAttempt(task, queue)
        && waitsForHealthy(task, schedulable(now).of(queue.service()), now);
  }

  /**
   * Returns why a worker is not eligible for a task now; null if it is.
   *
   * @param mayBePaused whether the worker may be paused
   */
  @Nullable IneligibleReason ineligibleReason(
      Task task, Queue queue, Worker worker, long now, boolean mayBePaused) {
    IneligibleReason unsuitable = unsuitableReason(task, queue, worker, now);
    return unsuitable != null ? unsuitable : loadReason(task, worker, now, mayBePaused);
  }

  /** Returns why what runs or ran on a suitable worker rules it out; null if it does not. */
  private @Nullable IneligibleReason loadReason(
      Task task, Worker worker, long now, boolean mayBePaused) {
    IneligibleReason reason = capacityReason(task, worker, now);
    if (reason != null) {
      return reason;
    }
    // A task that has waited may exceed this limit, see lastResorts.
    if (worker.admission().isAtLimit(worker.runs())) {
      return IneligibleReason.RECOVERING;
    }
    if (SuspectPlacement.isKeptApart(task, worker, now)) {
      return IneligibleReason.KEPT_APART;
    }
    return healthReason(task.step(), worker, now, mayBePaused);
  }

  /** Returns why a suitable worker cannot take a task besides what runs there; null if it can. */
  private @Nullable IneligibleReason capacityReason(Task task, Worker worker, long now) {
    ResourceAmounts wanted = task.step().step().reserved();
    if (!wanted.fitsInto(worker.free())) {
      return IneligibleReason.NO_CAPACITY;
    }
    if (worker.capacityRefusals().rulesOut(worker, wanted, now)) {
      return IneligibleReason.BACKING_OFF;
    }
    if (isAtPerWorkerLimit(task.step(), worker)) {
      return IneligibleReason.PER_WORKER_LIMIT;
    }
    return reservations.isReservedForOthers(worker, task) ? IneligibleReason.RESERVED : null;
  }

  /**
   * Returns whether a worker that is not paused is eligible for a task once it has enough capacity.
   */
  boolean isSuitable(Task task, Queue queue, Worker worker, long now) {
    return unsuitableReason(task, queue, worker, now) == null
        && !isAtPerWorkerLimit(task.step(), worker)
        && !worker.admission().isAtLimit(worker.runs())
        && healthReason(task.step(), worker, now, false) == null;
  }

  private static boolean isAtPerWorkerLimit(StepRun step, Worker worker) {
    int limit = step.step().maxPerWorker();
    return limit > 0 && step.countOn(worker) >= limit;
  }

  /** Returns why a worker is not eligible for a task whatever its free capacity; null if it is. */
  private static @Nullable IneligibleReason unsuitableReason(
      Task task, Queue queue, Worker worker, long now) {
    IneligibleReason reason = worker.ineligibleReason(now);
    if (reason != null) {
      return reason;
    }
    if (!worker.entry().service().equals(queue.service())) {
      return IneligibleReason.OTHER_SERVICE;
    }
    return hasLabel(task, worker) ? null : IneligibleReason.OTHER_LABEL;
  }

  private static boolean hasLabel(Task task, Worker worker) {
    String label = task.step().step().requiredLabel();
    return label == null || worker.entry().labels().contains(label);
  }

  /**
   * Returns why the worker's failures rule it out for a task of a step; null if they do not. A
   * suspect worker is given one run at a time as a test.
   */
  private static @Nullable IneligibleReason healthReason(
      StepRun step, Worker worker, long now, boolean mayBePaused) {
    WorkerHealth health = worker.health();
    if (health.isPaused(now) && !mayBePaused) {
      return IneligibleReason.PAUSED;
    }
    boolean isTested = health.isSuspect() && hasTestSince(health.failedAt(), step, worker, now);
    return isTested ? IneligibleReason.SUSPECT : null;
  }

  /**
   * Returns whether a worker has a run that began at a time or later and is still a test. The
   * members of one gang are one test, as they only run together.
   */
  private static boolean hasTestSince(long startedAt, StepRun step, Worker worker, long now) {
    for (Run run : worker.runs()) {
      boolean isSameGang = run.task().step() == step && step.step().gang();
      if (run.startedAt() >= startedAt && WorkerHealth.isTest(run, now) && !isSameGang) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a last attempt has to wait for a suitable worker whose newest run has not
   * failed.
   */
  private static boolean waitsForHealthy(Task task, List<Worker> schedulable, long now) {
    if (now >= task.notBefore() + LAST_ATTEMPT_WAIT_MILLIS) {
      return false;
    }
    for (Worker worker : schedulable) {
      if (!worker.health().hasLastRunFailed() && hasLabel(task, worker)) {
        return true;
      }
    }
    return false;
  }

  private static boolean areAllPaused(Task task, List<Worker> schedulable, long now) {
    boolean isAnySuitable = false;
    for (Worker worker : schedulable) {
      if (hasLabel(task, worker)) {
        if (!worker.health().isPaused(now)) {
          return false;
        }
        isAnySuitable = true;
      }
    }
    return isAnySuitable;
  }
}
