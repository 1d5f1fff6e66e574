package org.hemlockpick.cell;

import java.util.List;

/**
 * A job as its caller handed it in.
 *
 * @param id identifier that the caller chose
 * @param queue queue that it was handed in to
 * @param spec text that every task is started with
 * @param steps steps; a step depends on earlier ones only
 * @param firstStartAtMillis time of day of the first occurrence, in milliseconds since 1970; 0 for
 *     at once
 * @param intervalMillis time between occurrences
 * @param repeatCount number of occurrences; 0 for a job that runs once and at once
 * @param acceptedAtMillis time of day at which it was accepted
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

  /** Tells whether the occurrences start at set times. */
  public boolean isTimed() {
    return repeatCount > 0;
  }

  /** Returns the number of occurrences, at least 1. */
  public int occurrences() {
    return Math.max(1, repeatCount);
  }

  /** Returns the time of day at which an occurrence may start. */
  public long dueAtMillis(int occurrence) {
    return isTimed() ? firstStartAtMillis + occurrence * intervalMillis : acceptedAtMillis;
  }

  /** Tells whether a step lasts until the job is canceled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(Step::longRunning);
  }
}
