package org.hemlockpick.cell;

import java.util.List;

/**
 * A job as its caller submitted it.
 *
 * @param id identifier that the caller chose
 * @param queue queue that it was submitted to
 * @param spec text that every task is started with
 * @param steps steps; a step depends on earlier ones only
 * @param firstStartAtMillis wall clock time of the first occurrence, in milliseconds since 1970; 0
 *     for immediately
 * @param intervalMillis time between occurrences
 * @param repeatCount number of occurrences; 0 for a job that runs once and immediately
 * @param acceptedAtMillis wall clock time at which it was accepted
 */
public record Submission(
    String id,
    String queue,
    String spec,
    List<Step> steps,
    long firstStartAtMillis,
    long intervalMillis,
    int repeatCount,
    long acceptedAtMillis) {

  /** Copies the list. */
  public Submission {
    steps = List.copyOf(steps);
  }

  /** Returns whether the occurrences start at scheduled times. */
  public boolean isTimed() {
    return repeatCount > 0;
  }

  /** Returns the number of occurrences, at least 1. */
  public int occurrences() {
    return Math.max(1, repeatCount);
  }

  /** Returns the wall clock time at which an occurrence may start. */
  public long dueAtMillis(int occurrence) {
    return isTimed() ? firstStartAtMillis + occurrence * intervalMillis : acceptedAtMillis;
  }

  /** Returns whether a step is long-running, so that its tasks run until the job is canceled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(Step::longRunning);
  }
}
