package org.hemlockpick.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * CPU that is neither reserved nor used by fillers, at workers by whether they accept the fillers
 * that wait.
 */
final class UnusedCpu {
  private static final String PREFIX = "cores.unused";
  private static final long MILLICORES_PER_CORE = 1_000;

  /** Workers where one of the fillers that were looked at may be placed. */
  private final Set<Worker> accepting = new HashSet<>();

  /** Workers that the placement policy refuses for one of them. */
  private final Set<Worker> refusing = new HashSet<>();

  /** Begins a new look at the fillers that wait. */
  void clear() {
    accepting.clear();
    refusing.clear();
  }

  /** Adds what was found for a filler that waits. */
  void add(WorkerReview review) {
    accepting.addAll(review.open());
    refusing.addAll(review.refused());
    refusing.removeAll(accepting);
  }

  /** Returns the unused CPU of some workers, in whole cores. */
  static long cores(Collection<Worker> workers) {
    return workers.stream().mapToLong(UnusedCpu::millicores).sum() / MILLICORES_PER_CORE;
  }

  private static long millicores(Worker worker) {
    long unused = worker.free().cpuMillis();
    for (Run run : worker.runs()) {
      unused -= run.step().filler() ? run.gauge() : 0;
    }
    return Math.max(0, unused);
  }

  private static long openCores(WorkerTable workers, long now) {
    return cores(workers.all().stream().filter(worker -> worker.isSchedulable(now)).toList());
  }

  void addGauges(Map<String, Long> gauges, WorkerTable workers, long now) {
    gauges.put(PREFIX, openCores(workers, now));
    gauges.put(PREFIX + ".fillersAccepted", cores(accepting));
    gauges.put(PREFIX + ".fillersRefused", cores(refusing));
  }

  /** Returns the unused CPU for the log. */
  String describe(WorkerTable workers, long now) {
    return "unused cores: "
        + openCores(workers, now)
        + " at open workers, "
        + cores(accepting)
        + " where waiting fillers are accepted, "
        + cores(refusing)
        + " where all of them are refused";
  }
}
