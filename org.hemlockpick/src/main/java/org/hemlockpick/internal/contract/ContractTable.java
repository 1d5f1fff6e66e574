package org.hemlockpick.internal.contract;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockpick.contract.Contract;
import org.jspecify.annotations.Nullable;

/** Holds the contracts in force at this entry instance. */
public final class ContractTable {
  private final Map<String, Contract> contracts = new TreeMap<>();

  /** Returns the contract of a customer, or null if none is in force. */
  public @Nullable Contract find(String customer) {
    return contracts.get(customer);
  }

  /** Returns all contracts in force, ordered by customer. */
  public Collection<Contract> all() {
    return Collections.unmodifiableCollection(contracts.values());
  }

  void put(Contract contract) {
    contracts.put(contract.customer(), contract);
  }

  void remove(String customer) {
    contracts.remove(customer);
  }
}
