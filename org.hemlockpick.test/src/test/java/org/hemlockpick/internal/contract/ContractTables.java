package org.hemlockpick.internal.contract;

import org.hemlockpick.contract.Contract;

/** Creates contract tables for tests. */
public final class ContractTables {
  private ContractTables() {}

  /** Returns a table in which the given contracts are in force. */
  public static ContractTable of(Contract... contracts) {
    ContractTable table = new ContractTable();
    for (Contract contract : contracts) {
      table.put(contract);
    }
    return table;
  }
}
