package org.hemlockpick.internal.request;

import java.util.List;
import org.hemlockpick.internal.ownership.Worker;

/** Chooses the worker for a request. */
public interface RoutingPolicy {

  /**
   * Chooses a worker.
   *
   * @param candidates workers with a free slot; never empty
   * @param now time in milliseconds on the loop's clock
   * @return one of the candidates
   */
  Worker choose(List<Worker> candidates, long now);
}
