package org.hemlockpick.cell;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A step of a job: tasks of one kind.
 *
 * @param count number of tasks, at least 1
 * @param demand resources that each task takes on a worker
 * @param estimateMillis declared run time of a task; a hint that may be far off
 * @param dependsOn numbers of earlier steps whose tasks must all be done first
 * @param checkpoints whether a task can resume from a checkpoint
 * @param gang whether the tasks run only all together
 * @param rackLocal whether the tasks run faster when all are in one rack
 * @param requiredLabel label that a worker must have; null if any worker will do
 * @param preferredRack rack where the tasks run fastest; null if there is none
 * @param maxPerWorker maximum number of tasks of one occurrence of the step on one worker; 0 for no
 *     limit
 * @param speculative whether copies of a task may run at the same time
 * @param longRunning whether the tasks run until the job is canceled
 * @param image name of what the tasks run; empty if not given
 * @param tailTargetMillis limit of the tail latency of a serving task; 0 if it has none
 * @param filler whether the tasks take only the processor time that others leave unused
 * @param maxUnavailable maximum number of tasks that the system may make unavailable at a time;
 *     null for no limit
 */
public record Step(
    int count,
    ResourceAmounts demand,
    long estimateMillis,
    List<Integer> dependsOn,
    boolean checkpoints,
    boolean gang,
    boolean rackLocal,
    @Nullable String requiredLabel,
    @Nullable String preferredRack,
    int maxPerWorker,
    boolean speculative,
    boolean longRunning,
    String image,
    int tailTargetMillis,
    boolean filler,
    @Nullable Integer maxUnavailable) {

  /** Copies the list. */
  public Step {
    dependsOn = List.copyOf(dependsOn);
  }

  /** Returns whether the tasks serve users of their own, whose latency is measured. */
  public boolean isServing() {
    return longRunning && tailTargetMillis > 0;
  }

  /** Returns the resources that are reserved for a task and that no other task may use. */
  ResourceAmounts reserved() {
    return filler ? new ResourceAmounts(0, demand.memoryMb(), demand.gpus()) : demand;
  }
}
