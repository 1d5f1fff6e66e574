package org.hemlockpick.cell;

import java.util.List;

/**
 * Ranks long-running tasks that have lost their run first, then one task of each starved job. Of
 * the rest, urgent queues come first; within a queue priority, steps that can still be on time, by
 * latest start; then long-running steps and those that can still be finished late; then the rest.
 */
final class SlackPriority implements PriorityPolicy {
  /** A finished job has value until it has taken this many times its objective. */
  private static final int LATE_FACTOR = 3;

  private static final int GROUPS_PER_PRIORITY = 3;
  private static final int RESTART_GROUP = -2;
  private static final int STARVED_GROUP = -1;

  private final RunTimeEstimator estimator;

  SlackPriority(RunTimeEstimator estimator) {
    this.estimator = estimator;
  }

  @Override
  public Rank rank(StepRun step, boolean isRestart, Queue queue, long wallMillis) {
    Submission job = step.job().submission();
    long due = job.dueAtMillis(step.occurrence());
    if (isRestart) {
      return new Rank(RESTART_GROUP, due + queue.latencyTargetMillis(), true);
    }
    if (job.isLongRunning()) {
      // Behind short jobs that are on time: these release their capacity again, and are worth more.
      long latest = due + queue.latencyTargetMillis();
      return new Rank(queue.priority() * GROUPS_PER_PRIORITY + 1, latest, wallMillis <= latest);
    }
    long whole = longestChain(job, queue, 0);
    long objective = (long) (queue.slackFactor() * whole) + queue.latencyTargetMillis();
    long rest = longestChain(job, queue, step.number());
    long latestStart = due + objective - rest;
    int lateness = 0;
    if (wallMillis > latestStart) {
      lateness = wallMillis > due + LATE_FACTOR * objective - rest ? 2 : 1;
    }
    int group = queue.priority() * GROUPS_PER_PRIORITY + lateness;
    return new Rank(group, latestStart, lateness == 0);
  }

  @Override
  public Rank rankOfStarved(long sinceMillis) {
    return new Rank(STARVED_GROUP, sinceMillis, true);
  }

  /** Returns the expected duration of the longest chain of steps that begins at a step or later. */
  private long longestChain(Submission job, Queue queue, int from) {
    List<Step> steps = job.steps();
    long[] chain = new long[steps.size()];
    long longest = 0;
    for (int i = from; i < steps.size(); i++) {
      long dependencies = 0;
      for (int dependency : steps.get(i).dependsOn()) {
        dependencies = Math.max(dependencies, dependency >= from ? chain[dependency] : 0);
      }
      chain[i] = dependencies + estimator.expectedMillis(queue.name(), steps.get(i));
      longest = Math.max(longest, chain[i]);
    }
    return longest;
  }
}
