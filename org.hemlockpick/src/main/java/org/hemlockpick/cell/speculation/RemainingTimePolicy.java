package org.hemlockpick.cell.speculation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Copies the runs that by their progress take clearly longer than a new run: once half of the step
 * is done, as they delay it, or once they have taken longer than expected.
 */
public final class RemainingTimePolicy implements CopyPolicy {
  /** Elapsed time from which a run counts as a straggler, as a multiple of the expected one. */
  private static final double STRAGGLER_FACTOR = 1.5;

  /** Expected gain below which a copy is not worth its capacity, as a share of its run time. */
  private static final double MIN_GAIN_SHARE = 0.25;

  /**
   * Minimum gain, in milliseconds: a copy is ordered, started and reported, which a run that goes
   * on has behind it.
   */
  private static final long MIN_GAIN_MILLIS = 100;

  /** Elapsed time before which the progress of a run says little, in milliseconds. */
  private static final long MIN_ELAPSED_MILLIS = 200;

  /** A step has copies of at most one in so many of its tasks at a time, but of one at least. */
  private static final int TASKS_PER_COPY = 10;

  @Override
  public List<RunState> choose(StepState step) {
    int limit = Math.max(1, step.tasks() / TASKS_PER_COPY) - step.copies();
    if (limit <= 0) {
      return List.of();
    }
    List<RunState> chosen = new ArrayList<>();
    for (RunState run : step.runs()) {
      if (isStraggler(run, step) && gain(run, step) >= minGain(run, step)) {
        chosen.add(run);
      }
    }
    chosen.sort(Comparator.comparingLong((RunState run) -> gain(run, step)).reversed());
    return chosen.subList(0, Math.min(limit, chosen.size()));
  }

  private static boolean isStraggler(RunState run, StepState step) {
    return run.elapsedMillis() >= MIN_ELAPSED_MILLIS
        && (step.isHalfDone() || run.elapsedMillis() >= STRAGGLER_FACTOR * step.expectedMillis());
  }

  /** Returns by how much a copy is expected to be done earlier, in milliseconds. */
  private static long gain(RunState run, StepState step) {
    return run.remainingMillis(step.expectedMillis()) - run.copyMillis(step.expectedMillis());
  }

  private static long minGain(RunState run, StepState step) {
    double share = MIN_GAIN_SHARE * run.copyMillis(step.expectedMillis());
    return Math.max(MIN_GAIN_MILLIS, (long) share);
  }
}
