package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import org.jspecify.annotations.Nullable;

/** The workers of a service by why each is not chosen for a task that waits. */
final class WorkerReview {
  private static final int PERCENT = 100;

  private final Map<IneligibleReason, Integer> counts = new EnumMap<>(IneligibleReason.class);
  private final List<Worker> open = new ArrayList<>();

  /** Workers that are eligible, and that the placement policy refuses. */
  private final List<Worker> refused = new ArrayList<>();

  /** Worker with the most free CPU of those that have too little free capacity. */
  private @Nullable Worker mostFree;

  /** Looks through workers for tasks. */
  static final class Reviewer {
    private final WorkerTable workers;
    private final Candidates candidates;
    private final PlacementPolicy placement;

    Reviewer(WorkerTable workers, Candidates candidates, PlacementPolicy placement) {
      this.workers = workers;
      this.candidates = candidates;
      this.placement = placement;
    }

    /** Returns the pool of workers that are kept for short tasks now. */
    ShortTaskPool shortTaskPool(long now) {
      return new ShortTaskPool(candidates.schedulable(now));
    }

    /** Returns the runs that were started since a time on the monotonic clock. */
    RecentStarts startsSince(long sinceMillis) {
      return new RecentStarts(workers.all(), sinceMillis);
    }

    /** Looks through all workers of a queue's service for a task of it. */
    WorkerReview review(Task task, Queue queue, ShortTaskPool pool, long now) {
      WorkerReview review = new WorkerReview();
      boolean mayBePaused = candidates.mayBePaused(task, queue, now);
      boolean waitsForHealthy = candidates.waitsForHealthy(task, queue, now);
      boolean isKeptOffPool = task.step().step().longRunning() && !task.mayHaveStarted();
      for (Worker worker : workers.all()) {
        if (!worker.entry().service().equals(queue.service())) {
          continue;
        }
        IneligibleReason reason =
            candidates.ineligibleReason(task, queue, worker, now, mayBePaused);
        if (reason == null && waitsForHealthy && worker.health().hasLastRunFailed()) {
          reason = IneligibleReason.LAST_RUN_FAILED;
        }
        if (reason == null && isKeptOffPool && pool.contains(worker)) {
          reason = IneligibleReason.SHORT_TASKS_ONLY;
        }
        IneligibleReason refusal = reason == null ? placement.refusal(task, worker) : null;
        review.add(worker, reason, refusal);
      }
      return review;
    }
  }

  private void add(
      Worker worker, @Nullable IneligibleReason reason, @Nullable IneligibleReason refusal) {
    if (reason != null) {
      counts.merge(reason, 1, Integer::sum);
    } else if (refusal != null) {
      counts.merge(refusal, 1, Integer::sum);
      refused.add(worker);
    } else {
      open.add(worker);
    }
    if (reason == IneligibleReason.NO_CAPACITY
        && (mostFree == null || worker.free().cpuMillis() > mostFree.free().cpuMillis())) {
      mostFree = worker;
    }
  }

  /** Returns why the task waits. */
  WaitReason reason() {
    if (!open.isEmpty()) {
      return WaitReason.NOT_PLACED;
    }
    return refused.isEmpty() ? WaitReason.NO_WORKER : WaitReason.REFUSED;
  }

  /** Returns the number of workers by the first reason why each is not chosen. */
  Map<IneligibleReason, Integer> counts() {
    return counts;
  }

  /** Returns the workers where the task may be placed. */
  List<Worker> open() {
    return open;
  }

  /** Returns the workers that are eligible, and that the placement policy refuses. */
  List<Worker> refused() {
    return refused;
  }

  /** Adds how many workers there are by reason, for the log. */
  void describe(StringJoiner text) {
    text.add(open.size() + " workers open to it");
    counts.forEach((reason, count) -> text.add(count + " " + reason.text()));
    Worker largest = mostFree;
    if (largest != null) {
      text.add("largest room without: " + amounts(largest.free()) + " at " + largest.id());
    }
    if (!refused.isEmpty()) {
      text.add(describeRefused());
    }
  }

  private String describeRefused() {
    double[] tails =
        refused.stream().mapToDouble(InterferenceModel::worstTailRatio).sorted().toArray();
    return String.format(
        Locale.ROOT,
        "where refused: %d cores unused, serving tasks at %d%% to %d%% of their target (half of"
            + " the workers up to %d%%)",
        UnusedCpu.cores(refused),
        Math.round(tails[0] * PERCENT),
        Math.round(tails[tails.length - 1] * PERCENT),
        Math.round(tails[(tails.length - 1) / 2] * PERCENT));
  }

  /** Returns amounts of resources, for the log. */
  static String amounts(ResourceAmounts amounts) {
    String gpus = amounts.gpus() == 0 ? "" : " " + amounts.gpus() + " gpu";
    return amounts.cpuMillis() + " mcpu " + amounts.memoryMb() + " MB" + gpus;
  }
}
