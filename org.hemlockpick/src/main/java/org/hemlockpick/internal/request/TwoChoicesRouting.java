package org.hemlockpick.internal.request;

import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockpick.internal.ownership.Worker;

/** Chooses the one with more free slots of two randomly drawn workers (power of two choices). */
public final class TwoChoicesRouting implements RoutingPolicy {
  private final RandomGenerator random;

  /** Creates the policy. */
  public TwoChoicesRouting(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public Worker choose(List<Worker> candidates, long now) {
    Worker first = candidates.get(random.nextInt(candidates.size()));
    Worker second = candidates.get(random.nextInt(candidates.size()));
    return second.freeSlots(now) > first.freeSlots(now) ? second : first;
  }
}
