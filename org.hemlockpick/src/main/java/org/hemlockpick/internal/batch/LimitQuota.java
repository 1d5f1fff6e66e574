package org.hemlockpick.internal.batch;

import org.hemlockpick.internal.limit.LimitSystem;
import org.hemlockpick.proto.LimitKind;

/** Takes the units of running tasks from the limits of the customers' contracts. */
public final class LimitQuota implements TaskQuota {
  private final LimitSystem limits;

  /** Creates the quota. */
  public LimitQuota(LimitSystem limits) {
    this.limits = limits;
  }

  @Override
  public boolean tryTake(String customer) {
    return limits.tryTake(customer, LimitKind.BATCH_TASKS);
  }

  @Override
  public void give(String customer) {
    limits.give(customer, LimitKind.BATCH_TASKS);
  }
}
