package org.hemlockpick.internal.batch;

import java.util.HashMap;
import java.util.Map;
import org.hemlockpick.contract.Contract;
import org.hemlockpick.internal.contract.ContractTable;

/**
 * Counts the units that the tasks of each customer occupy here. Tasks of shards taken over run even
 * if no unit is granted; until the units of all of them are granted, the customer starts no further
 * tasks.
 */
final class CustomerTaskUnits {
  private final TaskQuota quota;
  private final ContractTable contracts;
  private final Map<String, Integer> used = new HashMap<>();
  private final Map<String, Integer> ungranted = new HashMap<>();

  CustomerTaskUnits(TaskQuota quota, ContractTable contracts) {
    this.quota = quota;
    this.contracts = contracts;
  }

  /** Acquires a unit for a new assignment; returns false when the customer has to wait. */
  boolean tryAcquire(String customer) {
    acquireUngranted(customer);
    if (ungranted.containsKey(customer) || !quota.tryAcquire(customer)) {
      return false;
    }
    used.merge(customer, 1, Integer::sum);
    return true;
  }

  /** Counts a task that is already assigned, whether or not a unit is granted for it. */
  void acquireUnconditionally(String customer) {
    used.merge(customer, 1, Integer::sum);
    if (!quota.tryAcquire(customer)) {
      ungranted.merge(customer, 1, Integer::sum);
    }
  }

  void release(String customer) {
    decrement(used, customer);
    if (ungranted.containsKey(customer)) {
      decrement(ungranted, customer);
    } else {
      quota.release(customer);
    }
  }

  /**
   * Returns the share of its limit that the customer would use here with one more task; above 1
   * when it has no limit.
   */
  double usedShare(String customer) {
    Contract contract = contracts.find(customer);
    int limit = contract == null ? 0 : contract.batch().tasks();
    return (1 + used.getOrDefault(customer, 0)) / Math.max(limit, 0.5);
  }

  private void acquireUngranted(String customer) {
    while (ungranted.containsKey(customer) && quota.tryAcquire(customer)) {
      decrement(ungranted, customer);
    }
  }

  private static void decrement(Map<String, Integer> counts, String customer) {
    counts.computeIfPresent(customer, (key, count) -> count == 1 ? null : count - 1);
  }
}
