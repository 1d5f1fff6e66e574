package org.hemlockpick.cell;

import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Finds the queue that a job is scheduled by: the one that the configuration in force has under the
 * name, else the terms under which the job was accepted. So a job is finished when the
 * configuration removes its queue, and follows a queue that is changed.
 */
final class QueueResolver {
  private final Supplier<@Nullable Configuration> configuration;

  /**
   * Creates a resolver.
   *
   * @param configuration returns the configuration in force; null until one was read
   */
  QueueResolver(Supplier<@Nullable Configuration> configuration) {
    this.configuration = configuration;
  }

  /**
   * Returns the queue of a job; null if no configuration was read yet, or if the queue is not in
   * force and the job was stored without its terms.
   */
  @Nullable Queue queue(Job job) {
    Configuration inForce = configuration.get();
    if (inForce == null) {
      return null;
    }
    Submission submission = job.submission();
    return inForce.queue(submission.queue()).orElse(submission.terms());
  }

  /** Returns how many runs of a task of a job may fail; no limit if its queue is not known. */
  int maxAttempts(Job job) {
    Queue queue = queue(job);
    return queue == null ? Integer.MAX_VALUE : queue.maxAttempts();
  }

  /**
   * Returns why no worker will ever be found for a job, as far as the configuration in force says;
   * null if one may be found, or if no configuration was read yet.
   *
   * @param workers the known workers
   */
  @Nullable String unservedReason(Job job, WorkerTable workers) {
    Configuration inForce = configuration.get();
    if (inForce == null) {
      return null;
    }
    String name = job.submission().queue();
    Queue queue = queue(job);
    if (queue == null) {
      return "queue " + name + " was removed, and the job was stored without its terms";
    }
    boolean isServed =
        inForce.queue(name).isPresent()
            || inForce.services().containsKey(queue.service())
            || workers.hasService(queue.service());
    return isServed ? null : "queue " + name + " and service " + queue.service() + " were removed";
  }
}
