package org.hemlockpick.cell;

/**
 * A queue that jobs are submitted to.
 *
 * @param name name of the queue
 * @param host host name in the requests of callers
 * @param pathPrefix start of the path in the requests of callers
 * @param service service whose workers run the jobs
 * @param priority priority; 0 is the most urgent
 * @param maxAttempts maximum number of failed runs of a task
 * @param slackFactor factor by which the run time of a job's longest chain of steps is multiplied
 *     to get the time within which the job should end
 * @param latencyTargetMillis time added to that
 * @param advised whether an adviser says which workers may run a step
 */
public record Queue(
    String name,
    String host,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double slackFactor,
    long latencyTargetMillis,
    boolean advised) {}
