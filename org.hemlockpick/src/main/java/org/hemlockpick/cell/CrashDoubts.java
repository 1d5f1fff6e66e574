package org.hemlockpick.cell;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Finds the inherited tasks that may have crashed a worker which was lost while the holder changed.
 * Such a task is in doubt: its starts are stored before their orders, so that no later crash
 * remains unknown. Until they are, the roster tells a later holder of the loss.
 */
final class CrashDoubts {
  private final JobTable jobs;
  private final TakeoverTracker takeover;
  private final CrashTracker crashes;
  private final LoopClock clock;
  private final DecisionLog log;

  /** Tasks in doubt of which no row says so. */
  private final Set<Task> unrecorded = new LinkedHashSet<>();

  private boolean loaded;

  /** Number of losses when the tasks were looked through last. */
  private int seenLosses;

  /** Whether the short tasks were looked through; they start only afterwards. */
  private boolean located;

  CrashDoubts(
      JobTable jobs,
      TakeoverTracker takeover,
      CrashTracker crashes,
      LoopClock clock,
      DecisionLog log) {
    this.jobs = jobs;
    this.takeover = takeover;
    this.crashes = crashes;
    this.clock = clock;
    this.log = log;
  }

  /** Looks for tasks in doubt; returns whether what the roster says of them has changed. */
  boolean run() {
    if (!loaded) {
      loaded = true;
      jobs.open().forEach(job -> job.stepRuns().forEach(this::addInheritedStarts));
    }
    boolean isLocated = takeover.areReachableLocated();
    if (takeover.losses().count() != seenLosses || isLocated != located) {
      seenLosses = takeover.losses().count();
      if (seenLosses > 0) {
        lookThrough(isLocated && !located);
      }
      located = isLocated;
    }
    unrecorded.removeIf(CrashDoubts::isRecorded);
    return takeover.isComplete() && unrecorded.isEmpty() && takeover.endDoubts();
  }

  private void addInheritedStarts(StepRun step) {
    for (Task task : step.tasks()) {
      task.crashes().starts().forEach(start -> crashes.addInherited(task, start));
    }
  }

  /**
   * Looks for tasks in doubt.
   *
   * @param isFirst whether short tasks can start from now on: later losses concern only those that
   *     the roster names
   */
  private void lookThrough(boolean isFirst) {
    int before = unrecorded.size();
    for (Job job : List.copyOf(jobs.open())) {
      if (!job.isInherited()) {
        continue;
      }
      job.openDueOccurrences(clock.wallMillis());
      for (StepRun step : job.stepRuns()) {
        if (!step.isDone() && job.areDependenciesDone(step)) {
          step.tasks().stream().filter(task -> isInDoubt(task, isFirst)).forEach(this::setDoubted);
        }
      }
    }
    String tasks = (unrecorded.size() - before) + " tasks may have run there";
    log.decided("cell", "losses", "in doubt", seenLosses + " workers lost, " + tasks);
  }

  /** All starts of a task that was watched before are known. */
  private boolean isInDoubt(Task task, boolean isFirst) {
    boolean isKnown = task.isLocated() || !task.hasNoRuns() || task.crashes().isWatched();
    return !task.isDone() && !isKnown && takeover.isPossiblyLost(task, isFirst);
  }

  private void setDoubted(Task task) {
    task.crashes().setDoubted();
    unrecorded.add(task);
  }

  private static boolean isRecorded(Task task) {
    boolean isOver = task.isDone() || task.job().state().isFinal();
    @Nullable Run run = task.run();
    boolean isOrdered = run != null && run.startOrdersSent() > 0;
    return isOver || !task.crashes().isDoubted() || isOrdered;
  }
}
