package org.hemlockpick.cell;

import java.util.List;
import org.jspecify.annotations.Nullable;

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
 * @param terms the queue as it was when the job was accepted; null before that, and if an earlier
 *     version stored the job
 */
public record Submission(
    String id,
    String queue,
    String spec,
    List<Step> steps,
    long firstStartAtMillis,
    long intervalMillis,
    int repeatCount,
    long acceptedAtMillis,
    @Nullable Queue terms) {

  /** Copies the list. */
  public Submission {
    steps = List.copyOf(steps);
  }

  /** Creates a job that is not accepted yet. */
  public Submission(
      String id,
      String queue,
      String spec,
      List<Step> steps,
      long firstStartAtMillis,
      long intervalMillis,
      int repeatCount,
      long acceptedAtMillis) {
    this(
        id,
        queue,
        spec,
        steps,
        firstStartAtMillis,
        intervalMillis,
        repeatCount,
        acceptedAtMillis,
        null);
  }

  /** Returns this job as it is accepted under the terms of its queue. */
  Submission withTerms(Queue accepting) {
    return new Submission(
        id,
        queue,
        spec,
        steps,
        firstStartAtMillis,
        intervalMillis,
        repeatCount,
        acceptedAtMillis,
        accepting);
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
