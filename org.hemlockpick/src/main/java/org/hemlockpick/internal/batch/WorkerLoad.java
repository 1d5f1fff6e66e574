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

/** Tracks what may run on one worker, counting every attempt not proved to have ended. */
final class WorkerLoad {
  final String worker;

  /** Tasks of loaded shards that are assigned to the worker, including pending assignments. */
  final Set<Task> assigned = new LinkedHashSet<>();

  /** Tasks assigned in their rows that the worker has not confirmed, in order of assignment. */
  final Set<Task> unstarted = new LinkedHashSet<>();

  /** Attempts to be stopped, with the time of the last stop call in milliseconds. */
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

  /** Returns when the current lease was granted; rows read earlier may be stale. */
  long grantedAt() {
    return grantedAt;
  }

  /**
   * Records that a new lease was granted: calls under the previous epoch have no effect any more.
   */
  void granted(long now) {
    grantedAt = now;
    forgetCalls();
  }

  /** Records that the lease was lost: the running attempts are no longer known. */
  void lost() {
    used = null;
    running.clear();
  }

  /** Records that the worker restarted: nothing of its previous boot runs any more. */
  void restarted() {
    forgetCalls();
    used = null;
    running.clear();
    stops.clear();
    recorded.clear();
  }

  /** Updates the load from the newest report of the worker. */
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

  /** Records a start call; the attempt counts as running until the worker reports otherwise. */
  void beginStart(TaskRef ref, ResourceAmounts need) {
    used = null;
    sent.put(ref, need);
    callsInFlight.merge(ref, 1, Integer::sum);
  }

  /** Records that a start call was answered or not delivered, so that it has no later effect. */
  void endStart(TaskRef ref) {
    callsInFlight.computeIfPresent(ref, (key, calls) -> calls == 1 ? null : calls - 1);
  }

  /** Records that the worker refused an attempt; other calls for it may still be in flight. */
  void refused(TaskRef ref) {
    if (!callsInFlight.containsKey(ref)) {
      sent.remove(ref);
      used = null;
    }
  }

  /** Records that an attempt ended, also if no report has shown it yet. */
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
   * Returns whether the worker may forget an attempt. While a start call for it may be in flight,
   * the worker must remember that the attempt ended, or the call would start it again.
   */
  boolean mayForget(TaskRef ref) {
    return recorded.contains(ref) && !callsInFlight.containsKey(ref);
  }

  boolean mayRun(TaskRef ref) {
    return running.containsKey(ref) || sent.containsKey(ref);
  }

  /** Returns the resources that may be in use on the worker now. */
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

  /** Returns the resources in use now and those of assigned tasks that have not started. */
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

  /**
   * Returns the time since which the worker table has not contained this worker, in milliseconds on
   * the loop's clock.
   */
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
