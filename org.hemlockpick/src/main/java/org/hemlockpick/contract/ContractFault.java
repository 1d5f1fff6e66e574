package org.hemlockpick.contract;

/**
 * Describes one fault in the text of a contract.
 *
 * @param file name of the file, as given by the operator
 * @param line line of the fault, from 1
 * @param column column of the fault, from 1
 * @param key dotted key of the faulty value; empty when the text is not TOML
 * @param message what is wrong and what is accepted
 */
public record ContractFault(String file, int line, int column, String key, String message) {

  /** Returns the fault on one line, {@code file:line: key: message}. */
  @Override
  public String toString() {
    String place = file + ":" + line + ": ";
    return key.isEmpty() ? place + message : place + key + ": " + message;
  }
}
