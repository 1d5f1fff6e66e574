package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records tasks whose turn has come and that are not started for too long though there is room, as
 * the callers and the workers see it. It shares no code with the scheduler.
 *
 * <p>It judges only while nothing is disturbed, and has not been for as long as a lease of a worker
 * and one of the cell last. There must be room for twice the task; for tasks that end by themselves
 * less than half of the capacity is to be in use, and nothing of their job may run.
 */
final class StartWatchdog {
  private static final long CHECK_MILLIS = 100;

  /** Time for which a job may have nothing running, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  /** Time within which a long-running task has to run again, in milliseconds. */
  private static final long MAX_RESTART_MILLIS = 6_000;

  /** Time without a disturbance before a wait counts, in milliseconds. */
  private static final long CALM_MILLIS = 4_000;

  /** Time for which a holder gives orders after its last renewal, in milliseconds. */
  private static final long CELL_LEASE_MILLIS = 8_000;

  /** Runs lost with their workers from which a task may be given up. */
  private static final int MIN_LOST_RUNS = 3;

  private final CellWorld world;
  private final long settleMillis;

  /** Times since which tasks and jobs wait, by their text. */
  private final Map<String, Long> waitingSince = new HashMap<>();

  private final Map<String, Long> bootTimes = new HashMap<>();
  private final Map<String, ResourceAmounts> capacities = new HashMap<>();
  private String lastHolder = "";
  private long disturbedAt;
  private long checks;

  /** Tasks that waited too long, in the order of time. */
  final List<String> violations = new ArrayList<>();

  /**
   * Creates a watchdog that checks until the end of the test.
   *
   * @param leaseMillis longest lease of a worker
   */
  StartWatchdog(CellWorld world, long leaseMillis) {
    this.world = world;
    this.settleMillis = leaseMillis * 102 / 100 + CELL_LEASE_MILLIS;
    this.disturbedAt = world.time.millis();
    check();
  }

  /** Returns how many times all jobs were judged. */
  long checks() {
    return checks;
  }

  private void check() {
    world.time.after(CHECK_MILLIS, this::check);
    long now = world.time.millis();
    if (isDisturbed()) {
      disturbedAt = now;
    }
    if (now - disturbedAt < settleMillis) {
      waitingSince.clear();
      return;
    }
    checks++;
    for (Submission job : world.acceptedJobs()) {
      if (!mayBeGivenUp(job)) {
        judge(job, now);
      }
    }
  }

  /**
   * Returns whether a task of a job crashes its workers, or was given up though it does not: that
   * is allowed once workers have gone down under it again and again, unless another task can have
   * caused that.
   */
  private boolean mayBeGivenUp(Submission job) {
    Set<TaskId> crashing = world.workers.crashAfterMillis.keySet();
    if (!crashing.isEmpty()) {
      return crashing.stream().anyMatch(task -> task.job().equals(job.id()));
    }
    return world.workers.hasLostRuns(job.id(), MIN_LOST_RUNS) && world.isStoredAsFailed(job);
  }

  private boolean isDisturbed() {
    String holder = "";
    boolean disturbed = world.store.unresponsive || world.store.lossProbability > 0;
    disturbed |= world.store.transactionMillis > 0 || world.store.watchesSilent;
    disturbed |= world.store.latencyMillis > FakeStore.LATENCY_MILLIS;
    disturbed |= world.workers.lateOrderProbability > 0;
    for (CellWorld.Node node : world.nodes) {
      CellMember process = node.process;
      boolean isUp = process != null && !node.isPaused() && !process.isStopping();
      disturbed |= !isUp || node.storeView.disconnected || node.workerView.disconnected;
      disturbed |= node.storeView.turnsAway || node.storeView.repliesLost;
      disturbed |= !node.workerView.unreachable.isEmpty() || node.workerView.startsLost;
      disturbed |= node.incarnation().tickMillis > CellWorld.TICK_MILLIS;
      disturbed |= node.workerView.stopsUnanswered || node.workerView.repliesLost;
      if (process != null && process.isHolder()) {
        holder += process.hashCode() + " ";
      }
    }
    disturbed |= holder.isEmpty() || !holder.equals(lastHolder);
    lastHolder = holder;
    for (FakeWorkers.Model worker : world.workers.all()) {
      disturbed |= !worker.replaced && !worker.gone && !isUsable(worker);
      disturbed |= worker.failsRuns || worker.stuck || worker.refusesStarts;
      disturbed |= worker.slowdown > 1;
      disturbed |= worker.replyMillis > FakeWorkers.LATENCY_MILLIS;
      ResourceAmounts capacity = capacities.put(worker.id(), worker.capacity());
      disturbed |= capacity == null || !capacity.equals(worker.capacity());
      Long bootTime = bootTimes.put(worker.id(), worker.bootTimeMillis());
      disturbed |= bootTime == null || bootTime != worker.bootTimeMillis();
    }
    return disturbed;
  }

  private boolean isUsable(FakeWorkers.Model worker) {
    boolean isListed = world.store.platformValue("workers", worker.id()).isPresent();
    boolean isDraining = isListed && world.isDraining(worker.id());
    return isListed && !isDraining && worker.isReachable();
  }

  private boolean takesTasks(FakeWorkers.Model worker) {
    boolean isKept = world.isEvacuationEnabled() && world.evacuations.isEvacuated(worker.id());
    return isUsable(worker) && !isKept;
  }

  private void judge(Submission job, long now) {
    boolean isRunning = false;
    String waiting = "";
    for (int step = 0; step < job.steps().size(); step++) {
      Step plan = job.steps().get(step);
      for (int i = 0; i < plan.count(); i++) {
        TaskId task = new TaskId(job.id(), 0, step, i);
        if (world.workers.isRunning(task)) {
          isRunning = true;
          waitingSince.remove(task.toString());
        } else if (!world.workers.isDone(task) && hasTurn(job, step)) {
          if (plan.longRunning()) {
            boolean fits = hasRoomTwice(task, plan);
            note(task.toString(), fits, now, MAX_RESTART_MILLIS);
          } else if (waiting.isEmpty() && hasRoomTwice(task, plan) && isHalfFree(job.id())) {
            waiting = task.toString();
          }
        }
      }
    }
    note(job.id() + " waits", !isRunning && !waiting.isEmpty(), now, MAX_WAIT_MILLIS);
  }

  private void note(String subject, boolean waits, long now, long maxMillis) {
    if (!waits) {
      waitingSince.remove(subject);
      return;
    }
    long since = waitingSince.computeIfAbsent(subject, key -> now);
    boolean isLate = now - since > maxMillis && now - disturbedAt > settleMillis + CALM_MILLIS;
    if (isLate && violations.stream().noneMatch(text -> text.startsWith(subject + ":"))) {
      violations.add(subject + ": not started since " + since + ", now " + now);
    }
  }

  private boolean hasTurn(Submission job, int step) {
    for (int earlier : job.steps().get(step).dependsOn()) {
      for (int i = 0; i < job.steps().get(earlier).count(); i++) {
        if (!world.workers.isDone(new TaskId(job.id(), 0, earlier, i))) {
          return false;
        }
      }
    }
    return true;
  }

  /** Returns whether usable workers have room for twice a task, or twice its gang. */
  private boolean hasRoomTwice(TaskId task, Step plan) {
    int wanted = 2 * (plan.gang() ? plan.count() : 1);
    int places = 0;
    for (FakeWorkers.Model worker : world.workers.all()) {
      if (!takesTasks(worker) || !world.mayRun.test(task.job(), worker.id())) {
        continue;
      }
      int limit = plan.maxPerWorker() > 0 ? plan.maxPerWorker() - worker.countOfStep(task) : wanted;
      ResourceAmounts free = worker.free();
      for (int i = 0; i < limit && plan.reserved().fitsInto(free); i++) {
        free = free.minus(plan.reserved());
        places++;
      }
    }
    return places >= wanted;
  }

  private boolean isHalfFree(String job) {
    long free = 0;
    long capacity = 0;
    for (FakeWorkers.Model worker : world.workers.all()) {
      if (takesTasks(worker) && world.mayRun.test(job, worker.id())) {
        free += worker.free().cpuMillis();
        capacity += worker.capacity().cpuMillis();
      }
    }
    return 2 * free > capacity;
  }
}
