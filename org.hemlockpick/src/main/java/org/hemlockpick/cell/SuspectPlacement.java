package org.hemlockpick.cell;

import java.util.List;

/**
 * Keeps tasks that may crash their workers apart from each other, so that the next crash shows
 * which of them is the cause, and places them where little is lost with them.
 */
final class SuspectPlacement {
  private SuspectPlacement() {}

  /**
   * Returns whether a task has to be kept off a worker: a suspect while another one is there that
   * is not cleared, unless it has waited long enough; any other task while a suspect there is
   * young.
   */
  static boolean isKeptApart(Task task, Worker worker, long now) {
    boolean isSuspect = task.crashes().isSuspect();
    for (Run run : worker.suspects()) {
      boolean isOther = run.task() != task && run.task().crashes().isSuspect();
      boolean isYoung = now - run.startedAt() < TaskCrashes.YOUNG_MILLIS;
      if (isOther && (isSuspect ? !task.hasWaited(now) : isYoung)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns those of the eligible workers where a crash loses least: without long-running tasks if
   * there are such, and of these the ones with the fewest runs.
   */
  static List<Worker> leastAtRisk(List<Worker> eligible) {
    List<Worker> withoutLongRunning =
        eligible.stream().filter(worker -> !hasLongRunning(worker)).toList();
    List<Worker> preferred = withoutLongRunning.isEmpty() ? eligible : withoutLongRunning;
    int fewest = preferred.stream().mapToInt(worker -> worker.runs().size()).min().orElse(0);
    return preferred.stream().filter(worker -> worker.runs().size() == fewest).toList();
  }

  private static boolean hasLongRunning(Worker worker) {
    return worker.runs().stream().anyMatch(run -> run.step().longRunning());
  }
}
