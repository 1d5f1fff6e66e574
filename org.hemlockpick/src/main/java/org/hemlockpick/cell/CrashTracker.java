package org.hemlockpick.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hemlockpick.cell.TaskCrashes.Crash;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.jspecify.annotations.Nullable;

/**
 * Finds out which workers have crashed, and which of their runs can have caused it. A worker has
 * crashed if another one has its address, or if a later boot reports without its runs, and it was
 * not draining. A worker that only does not answer has not, nor has one whose leases have expired.
 */
final class CrashTracker {
  /** Time within which workers count as lost at the same time, in milliseconds. */
  private static final long SAME_TIME_MILLIS = 1_000;

  /** Number of workers lost at the same time from which the cause is likely to be another. */
  private static final int MANY_WORKERS = 3;

  /** Time after which a worker that has not returned is forgotten, in milliseconds. */
  private static final long KEPT_MILLIS = 60_000;

  private static final int MAX_NAMES_IN_LOG = 5;

  private final WorkerTable workers;
  private final JobLifecycle lifecycle;
  private final LoopClock clock;
  private final DecisionLog log;
  private final UnresolvedStarts unresolved;

  /** Workers that do not answer, by identifier. */
  private final Map<String, Silence> silences = new HashMap<>();

  /** Runs of workers that may have crashed, by the identifier of the worker. */
  private final Map<String, Loss> losses = new HashMap<>();

  /** Times at which crashed workers stopped answering. */
  private final Deque<Long> crashTimes = new ArrayDeque<>();

  /**
   * The time since which a worker does not answer.
   *
   * @param aliveAt last time at which it is known to have been up
   */
  private record Silence(long since, long aliveAt) {}

  /**
   * A run that was on a worker that may have crashed.
   *
   * @param minAgeMillis its age when the worker was last known to be up
   * @param maxAgeMillis its age when the worker was known not to answer
   */
  private record LostRun(Run run, long minAgeMillis, long maxAgeMillis) {
    boolean mayBeBlamed() {
      return minAgeMillis <= TaskCrashes.UNKNOWN_AGE_MILLIS;
    }

    boolean isYoung() {
      return minAgeMillis <= TaskCrashes.YOUNG_MILLIS;
    }

    TaskCrashes crashes() {
      return run.task().crashes();
    }
  }

  /** The runs of a worker that may have crashed. */
  private record Loss(Worker worker, long bootTimeMillis, long silentSince, List<LostRun> runs) {
    WatchedStart start(Run run) {
      return new WatchedStart(run.attempt(), worker.id(), bootTimeMillis, worker.entry().address());
    }
  }

  CrashTracker(WorkerTable workers, JobLifecycle lifecycle, LoopClock clock, DecisionLog log) {
    this.workers = workers;
    this.lifecycle = lifecycle;
    this.clock = clock;
    this.log = log;
    this.unresolved = new UnresolvedStarts(workers, lifecycle, log);
  }

  /** Adds a start that an earlier holder has stored and of which it is not known how it ended. */
  void addInherited(Task task, WatchedStart start) {
    unresolved.add(task, start);
  }

  /**
   * Records that a call to a worker failed.
   *
   * @param isBroken whether an open call ended before its time, so that the worker was up until
   *     then
   */
  void onCallFailed(Worker worker, boolean isBroken) {
    if (!worker.isUnresponsive()) {
      long now = clock.monotonicMillis();
      silences.put(worker.id(), new Silence(now, isBroken ? now : worker.lastAnswerSentAt()));
    }
  }

  /** Keeps the runs of a worker that may turn out to have crashed, before they are dropped. */
  void onRunsInDoubt(Worker worker) {
    if (!worker.entry().draining() && !worker.runs().isEmpty()) {
      losses.putIfAbsent(worker.id(), loss(worker));
    }
  }

  /**
   * Has the starts stored that were given up with the leases of a worker, as it may turn out that
   * it crashed when another holder has the cell.
   */
  void onRunsGivenUp(Worker worker) {
    Loss loss = losses.get(worker.id());
    if (loss == null) {
      return;
    }
    for (LostRun lost : loss.runs()) {
      if (lost.mayBeBlamed() && lifecycle.watch(lost.run().task(), loss.start(lost.run()))) {
        unresolved.add(lost.run().task(), loss.start(lost.run()));
      }
    }
  }

  /** Assesses the crash of a worker whose address another one has; its runs are lost. */
  void onReplaced(Worker worker) {
    Loss kept = losses.remove(worker.id());
    if (worker.entry().draining()) {
      unresolved.onAssessed(worker.id());
      return;
    }
    if (kept == null) {
      // What is unresolved there was started by earlier holders.
      unresolved.onReplaced(worker.id());
    }
    assess(kept != null ? kept : loss(worker), Set.of(), "another worker has its address");
  }

  /**
   * Handles a complete report: of another boot than that of the runs in doubt, it proves that the
   * worker has crashed; of the same boot, that it has not.
   */
  void onReport(Worker worker, Set<RunId> reported) {
    Loss loss = losses.remove(worker.id());
    long bootTime = worker.entry().bootTimeMillis();
    if (loss != null && bootTime != 0 && bootTime != loss.bootTimeMillis()) {
      assess(loss, reported, "another boot, born " + bootTime);
    }
    unresolved.onReport(worker, reported);
    silences.remove(worker.id());
  }

  /** Looks for workers at the addresses of workers that were removed, and forgets old ones. */
  void onListRead() {
    long now = clock.monotonicMillis();
    crashTimes.removeIf(time -> now - time > KEPT_MILLIS);
    silences.values().removeIf(silence -> now - silence.since() > KEPT_MILLIS);
    losses.values().removeIf(loss -> now - loss.silentSince() > KEPT_MILLIS);
    for (Loss loss : List.copyOf(losses.values())) {
      if (loss.worker().isRemoved() && isReplaced(loss)) {
        onReplaced(loss.worker());
      }
    }
    unresolved.onListRead();
  }

  /** Returns whether another worker has the address; the same one may be listed again. */
  private boolean isReplaced(Loss loss) {
    for (Worker worker : workers.all()) {
      boolean isOther = !worker.id().equals(loss.worker().id());
      if (isOther && worker.entry().address().equals(loss.worker().entry().address())) {
        return true;
      }
    }
    return false;
  }

  private Loss loss(Worker worker) {
    Silence silence = worker.isUnresponsive() ? silences.get(worker.id()) : null;
    long since = silence == null ? clock.monotonicMillis() : silence.since();
    long aliveAt = silence == null ? worker.lastAnswerSentAt() : silence.aliveAt();
    List<LostRun> runs = new ArrayList<>();
    for (Run run : worker.runs()) {
      // An order that was not answered may have been sent to a worker that was already down.
      if (run.wasObservedRunning() || (run.startOrdersSent() > 0 && aliveAt >= run.startedAt())) {
        runs.add(new LostRun(run, aliveAt - run.startedAt(), since - run.startedAt()));
      }
    }
    return new Loss(worker, worker.entry().bootTimeMillis(), since, runs);
  }

  private void assess(Loss loss, Set<RunId> reported, String evidence) {
    boolean isOneOfMany = countLostWith(loss) >= MANY_WORKERS;
    crashTimes.add(loss.silentSince());
    unresolved.onAssessed(loss.worker().id());
    silences.remove(loss.worker().id());
    List<LostRun> suitable = new ArrayList<>();
    for (LostRun lost : loss.runs()) {
      if (!reported.contains(lost.run().id()) && lost.mayBeBlamed()) {
        suitable.add(lost);
      }
    }
    List<LostRun> blamed = blamed(suitable);
    String runs = loss.runs().size() + " runs, blamed: " + names(blamed);
    String many = isOneOfMany ? ", one of several lost at once" : "";
    log.decided("worker", loss.worker().id(), "crashed", evidence + ", " + runs + many);
    @Nullable Run only = onlyLikely(suitable);
    for (LostRun lost : suitable) {
      if (!blamed.contains(lost)) {
        lifecycle.onCrashDoubted(lost.run().task());
      }
    }
    for (LostRun lost : blamed) {
      Run run = lost.run();
      boolean isTelling = lost.isYoung() && !isOneOfMany;
      Crash crash = new Crash(run.attempt(), run.worker().id(), lost.maxAgeMillis(), isTelling);
      lifecycle.onWorkerCrashed(run.task(), crash, run == only);
    }
  }

  /** Returns the number of workers lost at the time at which one was, with that one. */
  private int countLostWith(Loss loss) {
    Set<String> silent = new HashSet<>(Set.of(loss.worker().id()));
    silences.forEach(
        (id, silence) -> {
          if (isSameTime(silence.since(), loss.silentSince())) {
            silent.add(id);
          }
        });
    long crashed = crashTimes.stream().filter(time -> isSameTime(time, loss.silentSince())).count();
    return silent.size() + (int) crashed;
  }

  private static boolean isSameTime(long one, long other) {
    return Math.abs(one - other) <= SAME_TIME_MILLIS;
  }

  /**
   * Returns the runs that are blamed: those of suspect tasks that have not outlived the ages at
   * which their earlier runs were lost, with those of tasks in doubt; or else all. The tasks of the
   * others are in doubt from then on: one of them may be guilty as well, and would never be blamed
   * if it always ran beside suspects.
   */
  private static List<LostRun> blamed(List<LostRun> suitable) {
    List<LostRun> suspects =
        suitable.stream()
            .filter(lost -> lost.crashes().isSuspect() || lost.crashes().isDoubted())
            .filter(lost -> lost.minAgeMillis() <= lost.crashes().soundAfterMillis())
            .toList();
    boolean isAny = suspects.stream().anyMatch(lost -> lost.crashes().isSuspect());
    return isAny ? suspects : suitable;
  }

  /** Returns the run that alone is likely to have caused the crash; null if there are others. */
  private static @Nullable Run onlyLikely(List<LostRun> suitable) {
    List<LostRun> likely =
        suitable.stream().filter(lost -> lost.isYoung() || lost.crashes().isWatched()).toList();
    return likely.size() == 1 ? likely.get(0).run() : null;
  }

  private static String names(List<LostRun> blamed) {
    if (blamed.isEmpty()) {
      return "none";
    }
    String names =
        blamed.stream()
            .limit(MAX_NAMES_IN_LOG)
            .map(lost -> lost.run().id().task().toString())
            .collect(Collectors.joining(", "));
    int more = blamed.size() - MAX_NAMES_IN_LOG;
    return more > 0 ? names + " and " + more + " more" : names;
  }
}
