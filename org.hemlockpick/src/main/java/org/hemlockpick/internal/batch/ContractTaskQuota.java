package org.hemlockpick.internal.batch;

import org.hemlockpick.internal.limit.LimitSystem;
import org.hemlockpick.proto.LimitKind;

/** Charges the units of running tasks to the limits of the customers' contracts. */
public final class ContractTaskQuota implements TaskQuota {
  private final LimitSystem limits;

  /** Creates the quota. */
  public ContractTaskQuota(LimitSystem limits) {
    this.limits = limits;
  }

  @Override
  public boolean tryAcquire(String customer) {
    return limits.tryAcquire(customer, LimitKind.BATCH_TASKS);
  }

  @Override
  public void release(String customer) {
    limits.release(customer, LimitKind.BATCH_TASKS);
  }
}
