package org.hemlockpick.pgm;

import jakarta.json.JsonObject;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** Holds the contracts in force as an entry instance knows them. */
final class ContractsInForce {
  private final Map<String, Entry> byCustomer = new TreeMap<>();

  /**
   * Holds one contract in force.
   *
   * @param revision revision of the contract; 0 for none
   * @param operator operator who made the change
   * @param text text of the contract; empty if it was withdrawn
   */
  record Entry(long revision, String operator, String text) {
    static final Entry NONE = new Entry(0, "", "");
  }

  private ContractsInForce() {}

  /**
   * Reads the contracts from an entry instance.
   *
   * @throws IOException if it refuses or does not answer
   */
  static ContractsInForce read(ApiClient client) throws IOException {
    ContractsInForce inForce = new ContractsInForce();
    JsonObject answer = ApiResults.requireDone(client.get("/v1/contracts"));
    for (JsonObject contract : answer.getJsonArray("contracts").getValuesAs(JsonObject.class)) {
      Entry entry =
          new Entry(
              contract.getJsonNumber("revision").longValue(),
              contract.getString("operator"),
              contract.getString("text"));
      inForce.byCustomer.put(contract.getString("customer"), entry);
    }
    return inForce;
  }

  Entry of(String customer) {
    return byCustomer.getOrDefault(customer, Entry.NONE);
  }
}
