package org.hemlockpick.cell;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;

/**
 * A configuration that the operator put in force.
 *
 * @param version version; increases with each change
 * @param queues queues in no particular order
 * @param services services by name
 * @param limits limits of the requests of callers
 */
public record Configuration(
    long version,
    List<Queue> queues,
    ImmutableMap<String, ServiceEntry> services,
    RequestLimits limits) {

  /** Copies the list. */
  public Configuration {
    queues = List.copyOf(queues);
  }

  /**
   * Returns the queue of a request: the one with the longest matching prefix of the path.
   *
   * @param host host name, without a port
   * @param path path without the query
   */
  public Optional<Queue> route(String host, String path) {
    Queue best = null;
    for (Queue queue : queues) {
      boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
      if (matches && (best == null || isLonger(queue, best))) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the largest body of a request, in bytes. */
  public int maxBodyBytes() {
    return limits.maxBodyBytes();
  }

  /** Returns the queue with a name. */
  public Optional<Queue> queue(String name) {
    return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
  }

  private static boolean isLonger(Queue queue, Queue other) {
    return queue.pathPrefix().length() > other.pathPrefix().length();
  }
}
