package org.hemlockpick.internal.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.internal.ownership.Worker;
import org.hemlockpick.proto.TaskPhase;
import org.hemlockpick.proto.TaskRef;
import org.hemlockpick.proto.TaskStatus;
import org.jspecify.annotations.Nullable;

/** Holds what may run at one worker, counting all that is not proved to be over. */
final class WorkerLoad {
  final String worker;

  /** Tasks of loaded shards that are assigned to the worker or are to be. */
  final Set<Task> assigned = new LinkedHashSet<>();

  /** Tasks that the row assigns and the worker has not confirmed, in order of assignment. */
  final Set<Task> unstarted = new LinkedHashSet<>();

  /** Attempts to stop with the time of the last call, in milliseconds. */
  final Map<TaskRef, Long> stops = new LinkedHashMap<>();

  private final Map<TaskRef, ResourceAmounts> running = new HashMap<>();
  private final Map<TaskRef, ResourceAmounts> sent = new HashMap<>();
  private final Map<TaskRef, Integer> callsInFlight = new HashMap<>();
  private final Set<TaskRef> recorded = new HashSet<>();
  private @Nullable ResourceAmounts used;
  private long reports;
  private long grantedAt;
  private long unknownSince = -1;

  WorkerLoad(String worker) {
    this.worker = worker;
  }

  long reports() {
    return reports;
  }

  /** Returns when the present lease was granted; what was read earlier may be outdated. */
  long grantedAt() {
    return grantedAt;
  }

  /** Begins a new lease: calls under the former epoch have no effect any more. */
  void granted(long now) {
    grantedAt = now;
    forgetCalls();
  }

  /** Forgets what ran when this entry instance lost the lease. */
  void lost() {
    used = null;
    running.clear();
  }

  /** Forgets the former start of the worker and all that ran in it. */
  void restarted() {
    forgetCalls();
    used = null;
    running.clear();
    stops.clear();
    recorded.clear();
  }

  /** Takes the newest report of the worker. */
  void update(Worker reported) {
    used = null;
    reports++;
    running.clear();
    for (TaskStatus status : reported.tasks().values()) {
      sent.remove(status.getTask());
      if (status.getPhase() == TaskPhase.TASK_RUNNING) {
        running.put(status.getTask(), ResourceAmounts.of(status.getResources()));
      } else {
        stops.remove(status.getTask());
      }
    }
    recorded.retainAll(reported.tasks().keySet());
  }

  /** Notes a start call; the attempt counts as running until the worker shows otherwise. */
  void beginStart(TaskRef ref, ResourceAmounts need) {
    used = null;
    sent.put(ref, need);
    callsInFlight.merge(ref, 1, Integer::sum);
  }

  /** Notes that a start call had its whole effect or none. */
  void endStart(TaskRef ref) {
    callsInFlight.computeIfPresent(ref, (key, calls) -> calls == 1 ? null : calls - 1);
  }

  /** Notes that the worker refused an attempt; copies of the call may still be under way. */
  void refused(TaskRef ref) {
    if (!callsInFlight.containsKey(ref)) {
      sent.remove(ref);
      used = null;
    }
  }

  /** Notes that an attempt is over although no report has shown it yet. */
  void markEnded(TaskRef ref) {
    used = null;
    sent.remove(ref);
    running.remove(ref);
    stops.remove(ref);
  }

  void markRecorded(TaskRef ref) {
    recorded.add(ref);
  }

  /**
   * Tells whether the worker may forget an attempt. While a copy of its start call may be under
   * way, the worker has to remember that the attempt is over, or the copy would start it anew.
   */
  boolean mayForget(TaskRef ref) {
    return recorded.contains(ref) && !callsInFlight.containsKey(ref);
  }

  boolean mayRun(TaskRef ref) {
    return running.containsKey(ref) || sent.containsKey(ref);
  }

  /** Returns what may be in use at the worker now. */
  ResourceAmounts used() {
    ResourceAmounts known = used;
    if (known == null) {
      Map<TaskRef, ResourceAmounts> all = new HashMap<>(running);
      all.putAll(sent);
      known = all.values().stream().reduce(ResourceAmounts.NONE, ResourceAmounts::plus);
      used = known;
    }
    return known;
  }

  /** Returns what is in use now or assigned and waits for room. */
  ResourceAmounts planned() {
    ResourceAmounts planned = used();
    for (Task task : assigned) {
      Job job = task.shard.indexedUnder;
      if (job != null && !mayRun(task.ref())) {
        planned = planned.plus(job.need());
      }
    }
    return planned;
  }

  int runningTasks() {
    return running.size();
  }

  /** Returns since when the table of workers has not shown this worker. */
  long unknownSince(long now) {
    if (unknownSince < 0) {
      unknownSince = now;
    }
    return unknownSince;
  }

  void resetUnknownSince() {
    unknownSince = -1;
  }

  private void forgetCalls() {
    used = null;
    sent.clear();
    callsInFlight.clear();
  }
}
