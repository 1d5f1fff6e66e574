package org.hemlockpick.cell;

/**
 * A queue that jobs are handed in to.
 *
 * @param name name of the queue
 * @param host host name in the requests of callers
 * @param pathPrefix start of the path in the requests of callers
 * @param service service whose workers run the jobs
 * @param priority 0 is the most urgent
 * @param maxAttempts most failed runs of a task
 * @param slackFactor factor of the longest chain of work within which a job should end
 * @param latencyTargetMillis time on top of that
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
