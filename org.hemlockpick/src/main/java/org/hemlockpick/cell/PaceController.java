package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.hemlockpick.cell.WorkerPort.OrderOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Keeps fillers from harming the serving tasks on their worker: sets their paces so that the loads
 * of the serving tasks stay below a maximum, as far as can be forecast, the fillers that add most
 * first. A filler that has been slowed down for a while is moved to a worker that accepts it at
 * full pace, if not too much work is lost. All that add load are stopped if a tail latency stays
 * over its target.
 */
final class PaceController {
  private static final int FULL_PERCENT = 100;

  /** Paces that are tried, in percent. */
  private static final int[] PACES = {FULL_PERCENT, 50, 25, 10, 0};

  /** Lowest pace of a filler while no load is forecast to be at the target, in percent. */
  private static final int MIN_PERCENT = 10;

  /** Forecast load above which harmful fillers are slowed down. */
  private static final double SLOW_LOAD = 0.71;

  /** Forecast load up to which their pace is raised. */
  private static final double RAISE_LOAD = 0.66;

  /** Forecast load from which they are paused. */
  private static final double PAUSE_LOAD = 0.74;

  /** Forecast load above which all other fillers are slowed down, too. */
  private static final double SLOW_ALL_LOAD = 0.77;

  /** Load that is not worth a slower pace. */
  private static final double NEGLIGIBLE_LOAD = 0.005;

  /** Pace up to which a filler is moved, in percent. */
  private static final int MAX_MOVED_PERCENT = 25;

  /** Time at such a pace after which it is moved, in milliseconds. */
  private static final long MOVE_AFTER_MILLIS = 1_500;

  /** Time over its target of a serving task after which fillers are stopped, in milliseconds. */
  private static final long STOP_AFTER_MILLIS = 2_500;

  /** Maximum work of a task without checkpoints that is given up for a move, in percent. */
  private static final int MAX_LOST_PERCENT = 30;

  private final long token;
  private final WorkerPort port;

  /** Stops a run for a given reason, unless too many tasks of its step are unavailable. */
  private final BiConsumer<Run, String> tryStop;

  private final InterferenceModel interference;
  private final LoopClock clock;
  private final DecisionLog log;

  PaceController(
      long token,
      WorkerPort port,
      BiConsumer<Run, String> tryStop,
      InterferenceModel interference,
      LoopClock clock,
      DecisionLog log) {
    this.token = token;
    this.port = port;
    this.tryStop = tryStop;
    this.interference = interference;
    this.clock = clock;
    this.log = log;
  }

  /** Adjusts the paces at the worker of a filler that has just started. */
  void onStarted(Run run) {
    if (run.step().filler()) {
      adjust(run.worker());
    }
  }

  /**
   * Adjusts the paces of the fillers on a worker that has just reported.
   *
   * @param isPlaceable returns whether a task could be placed on another worker
   */
  void onReport(Worker worker, Predicate<Task> isPlaceable) {
    interference.learn(worker);
    adjust(worker);
    long now = clock.monotonicMillis();
    Run worst = worker.worstServingRun();
    boolean isOverTarget = worst != null && now - worst.overTargetSince() >= STOP_AFTER_MILLIS;
    for (Run run : List.copyOf(worker.runs())) {
      if (isAdjustable(run) && (isOverTarget || isMoved(run, now, isPlaceable))) {
        tryStop.accept(run, "harms serving tasks, worst at " + percent(worker) + "% of its target");
      }
    }
  }

  private static boolean isAdjustable(Run run) {
    return run.step().filler() && run.state() == Run.State.RUNNING;
  }

  private static boolean isMoved(Run run, long now, Predicate<Task> isPlaceable) {
    boolean isCheap = run.step().checkpoints() || run.progressPercent() < MAX_LOST_PERCENT;
    return isCheap
        && run.pace() <= MAX_MOVED_PERCENT
        && now - run.pacedSince() >= MOVE_AFTER_MILLIS
        && isPlaceable.test(run.task());
  }

  private void adjust(Worker worker) {
    List<Run> fillers = new ArrayList<>();
    for (Run run : worker.runs()) {
      if (isAdjustable(run)) {
        fillers.add(run);
      }
    }
    if (fillers.isEmpty()) {
      return;
    }
    Map<Run, Integer> highest = paces(worker, fillers, SLOW_LOAD);
    Map<Run, Integer> lowest = paces(worker, fillers, RAISE_LOAD);
    for (Run run : fillers) {
      int max = highest.getOrDefault(run, FULL_PERCENT);
      int min = Math.min(max, lowest.getOrDefault(run, FULL_PERCENT));
      setPace(run, Math.max(min, Math.min(max, run.pace())));
    }
  }

  /** Returns the paces at which no load is forecast to be higher than a maximum, if possible. */
  private Map<Run, Integer> paces(Worker worker, List<Run> fillers, double maxLoad) {
    LoadForecast forecast = new LoadForecast(interference, worker);
    Map<Run, Integer> levels = new HashMap<>();
    for (Run run : fillers) {
      levels.put(run, 0);
      forecast.add(run.step(), FULL_PERCENT);
    }
    while (forecast.worst() > maxLoad) {
      Run slowed = mostAdding(worker, fillers, levels, forecast);
      if (slowed == null) {
        break;
      }
      int level = levels.getOrDefault(slowed, 0);
      forecast.add(slowed.step(), PACES[level + 1] - PACES[level]);
      levels.put(slowed, level + 1);
    }
    levels.replaceAll((run, level) -> PACES[level]);
    return levels;
  }

  /** Returns the filler that would add most less at its next pace; null if there is none. */
  private @Nullable Run mostAdding(
      Worker worker, List<Run> fillers, Map<Run, Integer> levels, LoadForecast forecast) {
    String serving = forecast.worstImage();
    double load = forecast.worst();
    boolean mayPause = load >= PAUSE_LOAD;
    double capacity = Math.max(1, worker.entry().capacity().cpuMillis());
    Run most = null;
    double mostAdded = NEGLIGIBLE_LOAD;
    for (Run run : fillers) {
      int level = levels.getOrDefault(run, 0);
      if (level + 1 == PACES.length || (PACES[level] == MIN_PERCENT && !mayPause)) {
        continue;
      }
      double share = run.step().demand().cpuMillis() / capacity * PACES[level] / FULL_PERCENT;
      double pressure = interference.pressure(serving, run.step().image());
      double added = pressure * share;
      boolean isCause = pressure >= InterferenceModel.HARMFUL_PRESSURE || load >= SLOW_ALL_LOAD;
      if (isCause && added > mostAdded) {
        most = run;
        mostAdded = added;
      }
    }
    return most;
  }

  private void setPace(Run run, int pace) {
    if (run.isPaceKnown() && run.pace() == pace) {
      return;
    }
    log.decided(
        "pace",
        run.id().task().toString(),
        pace + "% at " + run.worker().id(),
        "worst serving task at " + percent(run.worker()) + "% of its target");
    run.setPace(pace, clock.monotonicMillis());
    port.pace(
        run.worker().target(),
        run.id(),
        pace,
        run.worker().token(token),
        reply -> {
          if (reply.outcome() != OrderOutcome.ACCEPTED) {
            run.setPaceUnknown();
          }
        });
  }

  /** Returns the highest tail latency of a serving task in percent of its target. */
  private static long percent(Worker worker) {
    return Math.round(InterferenceModel.worstTailRatio(worker) * FULL_PERCENT);
  }
}
