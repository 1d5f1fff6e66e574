package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Predicts when the short tasks of a worker release capacity, and selects which to stop for it. */
final class CapacityForecast {
  private final RunTimeEstimator estimator;

  CapacityForecast(RunTimeEstimator estimator) {
    this.estimator = estimator;
  }

  /** Returns the capacity that a worker would have free without its short tasks. */
  static ResourceAmounts capacityWithoutShortTasks(Worker worker) {
    ResourceAmounts capacity = worker.entry().capacity();
    for (Run run : worker.runs()) {
      capacity = run.step().longRunning() ? capacity.minus(run.step().reserved()) : capacity;
    }
    return capacity;
  }

  /**
   * Returns the time until the wanted capacity is free on a worker if nothing more is started
   * there.
   */
  long millisUntilFree(Worker worker, ResourceAmounts wanted, long now) {
    if (wanted.fitsInto(worker.free())) {
      return 0;
    }
    ResourceAmounts free = worker.free();
    List<Run> runs = shortRuns(worker);
    runs.sort(Comparator.comparingLong(run -> estimator.remainingMillis(run, now)));
    for (Run run : runs) {
      free = free.plus(run.step().reserved());
      if (wanted.fitsInto(free)) {
        return Math.max(0, estimator.remainingMillis(run, now));
      }
    }
    return Long.MAX_VALUE;
  }

  /**
   * Returns the runs to stop on a worker to free the wanted capacity, those whose stop loses least
   * first; none if the runs already being stopped free enough, or if stopping all eligible runs
   * would not.
   */
  static List<Run> runsToPreempt(Worker worker, ResourceAmounts wanted, long now) {
    ResourceAmounts free = worker.free();
    List<Run> candidates = new ArrayList<>();
    for (Run run : shortRuns(worker)) {
      if (run.state() == Run.State.STOPPING) {
        free = free.plus(run.step().reserved());
      } else if (run.state() == Run.State.RUNNING) {
        candidates.add(run);
      }
    }
    candidates.sort(Comparator.comparingLong(run -> lostWork(run, now)));
    List<Run> preempted = new ArrayList<>();
    for (Run run : candidates) {
      if (wanted.fitsInto(free)) {
        break;
      }
      free = free.plus(run.step().reserved());
      preempted.add(run);
    }
    return wanted.fitsInto(free) ? preempted : List.of();
  }

  private static List<Run> shortRuns(Worker worker) {
    List<Run> runs = new ArrayList<>(worker.runs());
    runs.removeIf(run -> run.step().longRunning());
    return runs;
  }

  /** Returns the CPU time that a stop loses; stopping one member of a gang stops all of them. */
  private static long lostWork(Run run, long now) {
    Step step = run.step();
    long elapsed = step.checkpoints() ? 0 : now - run.startedAt();
    return step.demand().cpuMillis() * elapsed * (step.gang() ? step.count() : 1);
  }
}
