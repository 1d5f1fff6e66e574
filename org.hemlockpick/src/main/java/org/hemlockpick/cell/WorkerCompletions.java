package org.hemlockpick.cell;

import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Tracks the completions of one boot of a worker by their numbers: which have been processed, which
 * are recorded in the table service, and which have been acknowledged to the worker.
 */
final class WorkerCompletions {
  /** Number up to which all completions have been processed. */
  private long last;

  /**
   * Numbers of completions above that one that have also been processed; the handling of an earlier
   * completion failed.
   */
  private final Set<Long> processedAbove = new HashSet<>();

  private boolean failed;
  private long recorded;

  /** Jobs of the completions above {@code recorded}, by number. */
  private final NavigableMap<Long, Job> unrecordedJobs = new TreeMap<>();

  private long acknowledged;

  /** Forgets everything, as a new boot numbers its completions from 1 again. */
  void clear() {
    last = 0;
    processedAbove.clear();
    failed = false;
    recorded = 0;
    unrecordedJobs.clear();
    acknowledged = 0;
  }

  /** Returns the number up to which all completions have been processed. */
  long last() {
    return last;
  }

  /** Returns whether a completion has been processed. */
  boolean hasProcessed(long number) {
    return number <= last || processedAbove.contains(number);
  }

  /**
   * Records that a completion has been processed.
   *
   * @param isInOrder whether all earlier ones have been processed
   */
  void setProcessed(long number, boolean isInOrder) {
    if (isInOrder) {
      last = Math.max(last, number);
      processedAbove.remove(number);
    } else {
      processedAbove.add(number);
    }
  }

  /** Returns whether the last report contained completions whose handling failed. */
  boolean hasFailed() {
    return failed;
  }

  void setFailed(boolean newest) {
    failed = newest;
  }

  /** Returns the number up to which they are recorded in the table service. */
  long recorded() {
    return recorded;
  }

  /** Returns whether completions have been processed that are not recorded yet. */
  boolean hasUnrecorded() {
    return recorded < last;
  }

  void setRecorded(long number) {
    recorded = Math.max(recorded, number);
    unrecordedJobs.headMap(recorded, true).clear();
  }

  /** Adds the job of a completion that is not recorded yet. */
  void addUnrecorded(long number, Job job) {
    unrecordedJobs.put(number, job);
  }

  /**
   * Returns the number up to which they belong to jobs whose progress is stored.
   *
   * @param number highest number to return
   * @param isProgressUnstored returns whether the newest progress of a job is not stored
   */
  long lastStored(long number, Predicate<Job> isProgressUnstored) {
    for (Map.Entry<Long, Job> completion : unrecordedJobs.headMap(number, true).entrySet()) {
      if (isProgressUnstored.test(completion.getValue())) {
        return completion.getKey() - 1;
      }
    }
    return number;
  }

  /** Returns the jobs of those up to a number that are not recorded. */
  Set<Job> unrecordedJobs(long number) {
    return Set.copyOf(unrecordedJobs.headMap(number, true).values());
  }

  /** Records that a call that acknowledged them up to the given number was answered. */
  void onAcknowledged(long number) {
    acknowledged = Math.max(acknowledged, number);
  }

  /** Returns whether some are recorded that have not been acknowledged to the worker. */
  boolean isAcknowledgementDue() {
    return recorded > acknowledged;
  }
}
