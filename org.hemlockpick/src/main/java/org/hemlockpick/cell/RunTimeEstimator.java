package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;
import org.hemlockpick.proto.LearnedRecord;
import org.hemlockpick.proto.QueueMean;

/**
 * Estimates how long tasks take. Declared run times are far off, so they are averaged with the mean
 * of the completed tasks of the queue, and the completed tasks of the same step take precedence.
 */
final class RunTimeEstimator {
  /** Weight of a new run time in the mean of its queue. */
  private static final double NEW_SAMPLE_WEIGHT = 0.05;

  /** Number of completed tasks of a step from which only their mean is used. */
  private static final int MIN_SAMPLES = 2;

  private final Map<String, Double> queueMeans = new HashMap<>();
  private final Map<StepRun, Sum> steps = new HashMap<>();

  void addSample(Task task, long millis) {
    queueMeans.merge(
        task.job().submission().queue(),
        (double) millis,
        (mean, newest) -> mean + NEW_SAMPLE_WEIGHT * (newest - mean));
    steps.computeIfAbsent(task.step(), step -> new Sum()).add(millis);
  }

  /** Returns the expected run time of a task of a step, in milliseconds. */
  long expectedMillis(StepRun step) {
    Sum sum = steps.get(step);
    if (sum != null && sum.count >= MIN_SAMPLES) {
      return sum.millis / sum.count;
    }
    return expectedMillis(step.job().submission().queue(), step.step());
  }

  /** Returns the expected run time of a task of a step that has not begun, in milliseconds. */
  long expectedMillis(String queue, Step step) {
    Double mean = queueMeans.get(queue);
    return mean == null ? step.estimateMillis() : (long) (0.5 * mean + 0.5 * step.estimateMillis());
  }

  /**
   * Returns the expected remaining time of a run, in milliseconds; negative if it takes longer than
   * expected.
   */
  long remainingMillis(Run run, long nowMillis) {
    long elapsed = nowMillis - run.startedAt();
    long total =
        run.progressPercent() > 0
            ? elapsed * 100 / run.progressPercent()
            : expectedMillis(run.task().step());
    return total - elapsed;
  }

  /** Adds the means of the queues to a record, up to a maximum number. */
  void store(LearnedRecord.Builder record, int maxEntries) {
    queueMeans.forEach(
        (queue, mean) -> {
          if (record.getMeansCount() < maxEntries) {
            record.addMeans(QueueMean.newBuilder().setQueue(queue).setMillis(mean));
          }
        });
  }

  /** Restores what an earlier holder learned. */
  void restore(LearnedRecord record) {
    record.getMeansList().forEach(mean -> queueMeans.put(mean.getQueue(), mean.getMillis()));
  }

  /** Removes the samples of the steps of a job. */
  void forget(Job job) {
    job.stepRuns().forEach(steps::remove);
  }

  private static final class Sum {
    private int count;
    private long millis;

    void add(long taken) {
      count++;
      millis += taken;
    }
  }
}
