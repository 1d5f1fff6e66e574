package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.cell.TaskCrashes.Crash;
import org.hemlockpick.cell.WorkerPort.RunId;

/**
 * The watched starts whose runs this holder does not know or has given up, by worker, until the
 * worker shows whether it crashed under them: another boot of it answers without the run, or
 * another worker has its address.
 */
final class UnresolvedStarts {
  private final WorkerTable workers;
  private final JobLifecycle lifecycle;
  private final DecisionLog log;
  private final Map<String, List<Unresolved>> byWorker = new LinkedHashMap<>();

  private record Unresolved(Task task, WatchedStart start) {
    boolean isOpen() {
      return task.crashes().starts().contains(start);
    }
  }

  UnresolvedStarts(WorkerTable workers, JobLifecycle lifecycle, DecisionLog log) {
    this.workers = workers;
    this.lifecycle = lifecycle;
    this.log = log;
  }

  void add(Task task, WatchedStart start) {
    List<Unresolved> starts = byWorker.computeIfAbsent(start.worker(), worker -> new ArrayList<>());
    starts.add(new Unresolved(task, start));
  }

  /** Handles a complete report of a worker; it names the runs that are there. */
  void onReport(Worker worker, Set<RunId> reported) {
    List<Unresolved> lost = new ArrayList<>();
    for (Unresolved unresolved : take(worker.id())) {
      Task task = unresolved.task();
      WatchedStart start = unresolved.start();
      if (reported.contains(new RunId(task.id(), start.attempt()))) {
        continue;
      }
      if (start.isOtherBoot(worker.entry().bootTimeMillis())) {
        lost.add(unresolved);
      } else {
        lifecycle.onStartResolved(task, start.attempt());
      }
    }
    count(worker.id(), lost, "another boot, born " + worker.entry().bootTimeMillis());
  }

  /** Handles that another worker has the address of a worker. */
  void onReplaced(String worker) {
    count(worker, take(worker), "another worker has its address");
  }

  /** Drops the starts at a worker, as its crash was assessed from the runs themselves. */
  void onAssessed(String worker) {
    for (Unresolved unresolved : take(worker)) {
      lifecycle.onStartResolved(unresolved.task(), unresolved.start().attempt());
    }
  }

  /** Looks for workers at the addresses of workers that are not known any more. */
  void onListRead() {
    for (String worker : List.copyOf(byWorker.keySet())) {
      if (workers.get(worker) == null && isReplaced(worker)) {
        onReplaced(worker);
      }
    }
  }

  private boolean isReplaced(String worker) {
    for (Unresolved unresolved : byWorker.getOrDefault(worker, List.of())) {
      String address = unresolved.start().address();
      if (workers.all().stream().anyMatch(other -> other.entry().address().equals(address))) {
        return true;
      }
    }
    return false;
  }

  private List<Unresolved> take(String worker) {
    List<Unresolved> starts = byWorker.remove(worker);
    return starts == null ? List.of() : starts.stream().filter(Unresolved::isOpen).toList();
  }

  private void count(String worker, List<Unresolved> lost, String evidence) {
    if (lost.isEmpty()) {
      return;
    }
    log.decided("worker", worker, "crashed", evidence + ", " + lost.size() + " stored starts");
    for (Unresolved unresolved : lost) {
      int attempt = unresolved.start().attempt();
      Crash crash = new Crash(attempt, worker, TaskCrashes.UNKNOWN_AGE_MILLIS, true);
      lifecycle.onWorkerCrashed(unresolved.task(), crash, lost.size() == 1);
    }
  }
}
