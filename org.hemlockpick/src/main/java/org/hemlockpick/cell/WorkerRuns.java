package org.hemlockpick.cell;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hemlockpick.cell.WorkerPort.RunId;
import org.jspecify.annotations.Nullable;

/**
 * The runs of a worker with the totals that placement needs of them. The totals are kept up to date
 * as runs come and go, because every task to be placed looks at every worker.
 */
final class WorkerRuns {
  private final Map<RunId, Run> runs = new LinkedHashMap<>();

  /** Numbers of serving tasks by image. */
  private final Map<String, Integer> servingImages = new LinkedHashMap<>();

  /** Runs of tasks that were suspect of crashing workers when they came. */
  private final Set<Run> suspects = new LinkedHashSet<>();

  private ResourceAmounts reserved = ResourceAmounts.NONE;
  private long fillerCpu;
  private long servingCpu;

  /** The serving task with the highest tail latency, unless it has to be determined again. */
  private @Nullable Run worstServing;

  private boolean isWorstServingKnown = true;

  Collection<Run> all() {
    return runs.values();
  }

  boolean isEmpty() {
    return runs.isEmpty();
  }

  Optional<Run> find(RunId id) {
    return Optional.ofNullable(runs.get(id));
  }

  void add(Run run) {
    runs.put(run.id(), run);
    reserved = reserved.plus(run.step().reserved());
    if (run.task().crashes().isSuspect()) {
      suspects.add(run);
    }
    count(run, 1);
  }

  /** Removes a run; returns whether it was one of these. */
  boolean remove(Run run) {
    if (runs.remove(run.id()) == null) {
      return false;
    }
    suspects.remove(run);
    reserved = reserved.minus(run.step().reserved());
    count(run, -1);
    return true;
  }

  private void count(Run run, int sign) {
    long cpu = sign * run.step().demand().cpuMillis();
    if (run.step().filler()) {
      fillerCpu += cpu;
    }
    if (run.step().isServing()) {
      servingCpu += cpu;
      servingImages.merge(run.step().image(), sign, WorkerRuns::sumUnlessZero);
      isWorstServingKnown = false;
    }
  }

  private static @Nullable Integer sumUnlessZero(int count, int change) {
    int sum = count + change;
    return sum == 0 ? null : (Integer) sum;
  }

  /** Returns the runs of tasks that were suspect of crashing workers when they came. */
  Set<Run> suspects() {
    return suspects;
  }

  /** Records that a run was reported, so that its tail latency may have changed. */
  void onReported(Run run) {
    if (run.step().isServing()) {
      isWorstServingKnown = false;
    }
  }

  /** Returns the resources that the runs have reserved. */
  ResourceAmounts reserved() {
    return reserved;
  }

  /** Returns the CPU demand of the fillers, in millicores. */
  long fillerCpu() {
    return fillerCpu;
  }

  /** Returns the CPU reserved by the serving tasks, in millicores. */
  long servingCpu() {
    return servingCpu;
  }

  /** Returns the images of the serving tasks. */
  Set<String> servingImages() {
    return servingImages.keySet();
  }

  /** Returns the serving task with the highest tail latency; null if there is no serving task. */
  @Nullable Run worstServing() {
    if (!isWorstServingKnown) {
      isWorstServingKnown = true;
      worstServing = findWorstServing();
    }
    return worstServing;
  }

  private @Nullable Run findWorstServing() {
    Run worst = null;
    for (Run run : runs.values()) {
      if (run.step().isServing()
          && (worst == null
              || InterferenceModel.tailRatio(run) > InterferenceModel.tailRatio(worst))) {
        worst = run;
      }
    }
    return worst;
  }
}
