package org.hemlockpick.cell;

import org.jspecify.annotations.Nullable;

/**
 * Where a caller asks for a job that was accepted before. The queue of the job may have been
 * removed since, or another queue may have its path.
 *
 * @param host host name, without a port
 * @param pathPrefix path without the identifier of the job
 * @param job identifier of the job
 */
public record JobAddress(String host, String pathPrefix, String job) {
  /** Returns the whole path. */
  String path() {
    return pathPrefix + job;
  }

  /** Returns the queue in force whose jobs have such addresses; null if there is none. */
  @Nullable Queue queue(Configuration configuration) {
    return configuration
        .route(host, path())
        .filter(queue -> queue.pathPrefix().equals(pathPrefix))
        .orElse(null);
  }

  /** Returns whether the jobs submitted to a host and path prefix have such addresses. */
  boolean isAt(String otherHost, String otherPrefix) {
    return host.equalsIgnoreCase(otherHost) && pathPrefix.equals(otherPrefix);
  }
}
