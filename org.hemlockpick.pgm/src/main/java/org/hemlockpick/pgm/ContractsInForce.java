package org.hemlockpick.pgm;

import jakarta.json.JsonObject;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** The contracts in force, as reported by one entry instance. */
final class ContractsInForce {
  private final Map<String, Entry> byCustomer = new TreeMap<>();

  /**
   * One contract in force.
   *
   * @param revision revision of the contract; 0 if there is none
   * @param operator name of the operator who made the last change
   * @param text text of the contract; empty if the contract was withdrawn
   */
  record Entry(long revision, String operator, String text) {
    static final Entry NONE = new Entry(0, "", "");
  }

  private ContractsInForce() {}

  /**
   * Fetches the contracts from an entry instance.
   *
   * @throws IOException if the instance refuses the call or does not answer
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
