package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.StringJoiner;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Reports once a second which task of each kind has waited longest, and why; of the fillers, one of
 * each of some images. Workers are looked through for these tasks only. Tasks that last have lines
 * of their own, see {@link PendingTaskReporter}, and are only counted here.
 */
final class LongestWaitReporter {
  private static final long INTERVAL_MILLIS = 1_000;

  /** Maximum number of images of fillers of which a task is reported. */
  private static final int MAX_FILLER_IMAGES = 4;

  private static final Comparator<Waiting> LONGEST_FIRST =
      Comparator.comparingLong(Waiting::millis).reversed();

  private final String cell;
  private final TaskWaits waits;
  private final WaitCauses causes;
  private final WorkerReview.Reviewer reviewer;
  private final LongestWaits longest;
  private final UnusedCpu unusedCpu;
  private final DecisionLog log;
  private long nextReportAt;

  LongestWaitReporter(
      String cell,
      TaskWaits waits,
      WaitCauses causes,
      WorkerReview.Reviewer reviewer,
      LongestWaits longest,
      UnusedCpu unusedCpu,
      DecisionLog log) {
    this.cell = cell;
    this.waits = waits;
    this.causes = causes;
    this.reviewer = reviewer;
    this.longest = longest;
    this.unusedCpu = unusedCpu;
    this.log = log;
  }

  /**
   * A task that waits.
   *
   * @param reason why it may not be started at all; null if it waits for a worker
   */
  private record Waiting(Task task, TaskKind kind, long millis, @Nullable WaitReason reason) {
    /** Returns the tasks of which the one that has waited longest is reported. */
    private Group group() {
      boolean isByImage = kind == TaskKind.FILLER && reason == null;
      return new Group(kind, isByImage ? step().image() : "", reason == null);
    }

    /** Returns the one that has waited longer, of equals this one. */
    private Waiting longer(Waiting other) {
      return millis >= other.millis ? this : other;
    }

    private Step step() {
      return task.step().step();
    }
  }

  private record Group(TaskKind kind, String image, boolean waitsForWorker) {
    private boolean isFillerImage() {
      return kind == TaskKind.FILLER && waitsForWorker;
    }
  }

  /** Reports the tasks that wait if a second has passed since the last report. */
  void run(long now) {
    waits.run(now);
    if (now < nextReportAt) {
      return;
    }
    nextReportAt = now + INTERVAL_MILLIS;
    longest.clear();
    unusedCpu.clear();
    List<Waiting> waiting = waiting(now);
    List<Waiting> reported = longestOfGroups(waiting);
    ShortTaskPool pool = reviewer.shortTaskPool(now);
    RecentStarts starts = reviewer.startsSince(now - INTERVAL_MILLIS);
    reported.forEach(each -> report(each, pool, starts, now));
    countOthers(waiting, reported);
  }

  /** Returns the tasks that have waited for an interval or longer. */
  private List<Waiting> waiting(long now) {
    List<Waiting> waiting = new ArrayList<>();
    waits
        .all()
        .forEach(
            (task, wait) -> {
              if (wait.millis(now) >= INTERVAL_MILLIS) {
                TaskKind kind = TaskKind.of(task.step().step());
                waiting.add(new Waiting(task, kind, wait.millis(now), causes.reason(task, now)));
              }
            });
    return waiting;
  }

  private static List<Waiting> longestOfGroups(Collection<Waiting> waiting) {
    Map<Group, Waiting> groups = new LinkedHashMap<>();
    for (Waiting each : waiting) {
      groups.merge(each.group(), each, Waiting::longer);
    }
    List<Waiting> sorted = new ArrayList<>(groups.values());
    sorted.sort(LONGEST_FIRST);
    List<Waiting> reported = new ArrayList<>();
    int images = 0;
    for (Waiting each : sorted) {
      images += each.group().isFillerImage() ? 1 : 0;
      if (!each.group().isFillerImage() || images <= MAX_FILLER_IMAGES) {
        reported.add(each);
      }
    }
    return reported;
  }

  private void report(Waiting waiting, ShortTaskPool pool, RecentStarts starts, long now) {
    StringJoiner text = new StringJoiner(", ");
    text.add("waits for " + waiting.millis() + " ms");
    text.add(describe(waiting));
    WaitReason reason = waiting.reason();
    if (reason == null) {
      reason = review(waiting, pool, text, now);
      text.add(starts.like(waiting.step()) + " like it started in the last second");
      text.add("wants " + WorkerReview.amounts(waiting.step().demand()));
    } else {
      text.add(causes.describe(waiting.task(), reason, now));
    }
    longest.add(waiting.kind(), reason, waiting.millis());
    if (waiting.kind() != TaskKind.LONG_RUNNING) {
      log.decided("wait", waiting.task().id().toString(), reason.text(), text.toString());
    }
  }

  private WaitReason review(Waiting waiting, ShortTaskPool pool, StringJoiner text, long now) {
    Queue queue = Objects.requireNonNull(causes.queue(waiting.task()));
    WorkerReview review = reviewer.review(waiting.task(), queue, pool, now);
    longest.setWorkers(waiting.kind(), review.counts());
    if (waiting.kind() == TaskKind.FILLER) {
      unusedCpu.add(review);
    }
    review.describe(text);
    return review.reason();
  }

  private static String describe(Waiting waiting) {
    Step step = waiting.step();
    String image = waiting.kind() == TaskKind.FILLER ? " of image " + step.image() : "";
    String gang = step.gang() ? " of a gang of " + step.count() : "";
    return waiting.kind().text() + image + gang;
  }

  /** Counts the tasks that are not reported one by one, and logs how many there are. */
  private void countOthers(List<Waiting> waiting, List<Waiting> reported) {
    Set<Task> named = reported.stream().map(Waiting::task).collect(Collectors.toSet());
    Map<TaskKind, Integer> suppressed = new EnumMap<>(TaskKind.class);
    for (Waiting each : waiting) {
      if (named.contains(each.task())) {
        continue;
      }
      WaitReason reason = each.reason();
      longest.add(each.kind(), reason == null ? WaitReason.NOT_EXAMINED : reason, each.millis());
      if (each.kind() != TaskKind.LONG_RUNNING) {
        suppressed.merge(each.kind(), 1, Integer::sum);
      }
    }
    if (!suppressed.isEmpty()) {
      int sum = suppressed.values().stream().mapToInt(Integer::intValue).sum();
      StringJoiner text = new StringJoiner(", ");
      suppressed.forEach((kind, count) -> text.add(kind.text() + ": " + count));
      log.decided("wait", cell, "suppressed " + sum + " more", text.toString());
    }
  }
}
