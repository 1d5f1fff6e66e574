package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;

/** Counts the runs that were started since some time, by the kind of task and image of fillers. */
final class RecentStarts {
  private final Map<Like, Integer> counts = new HashMap<>();

  /** What tasks have in common that are placed alike. */
  private record Like(TaskKind kind, String image) {
    private static Like of(Step step) {
      TaskKind kind = TaskKind.of(step);
      return new Like(kind, kind == TaskKind.FILLER ? step.image() : "");
    }
  }

  /** Counts the runs at some workers that were started since a time on the monotonic clock. */
  RecentStarts(Iterable<Worker> workers, long sinceMillis) {
    for (Worker worker : workers) {
      for (Run run : worker.runs()) {
        if (run.startedAt() >= sinceMillis) {
          counts.merge(Like.of(run.step()), 1, Integer::sum);
        }
      }
    }
  }

  /** Returns the number of those of the kind of a step, and of its image if it has fillers. */
  int like(Step step) {
    return counts.getOrDefault(Like.of(step), 0);
  }
}
