package org.hemlockpick.internal.contract;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.proto.ContractRecord;
import org.jspecify.annotations.Nullable;

/**
 * Holds all accepted contract changes from the first one on, without gaps.
 *
 * <p>Memory grows with each change while the process runs; a hundred changes a day are about 36,500
 * texts a year.
 */
final class ContractLog {
  /** Maximum number of records in one answer to a peer. */
  static final int MAX_PUSH_RECORDS = 64;

  /**
   * Size of the records in one answer to a peer above which no further record is added, in bytes.
   */
  static final int MAX_PUSH_BYTES = 256 * 1024;

  private final List<ContractRecord> records = new ArrayList<>();
  private final Map<String, ContractRecord> newest = new HashMap<>();

  /** Returns the version of the newest record; 0 if there is none. */
  long version() {
    return records.size();
  }

  /** Appends the record that follows the newest one; returns false for any other. */
  boolean append(ContractRecord record) {
    if (record.getVersion() != version() + 1) {
      return false;
    }
    records.add(record);
    newest.put(record.getCustomer(), record);
    return true;
  }

  /** Returns the newest change of a customer, or null if there is none. */
  @Nullable ContractRecord newest(String customer) {
    return newest.get(customer);
  }

  /** Returns the record with the given version, from 1 to {@link #version()}. */
  ContractRecord get(long version) {
    return records.get((int) version - 1);
  }

  /** Returns the first records after a version, as many as fit into one message. */
  List<ContractRecord> after(long version) {
    List<ContractRecord> page = new ArrayList<>();
    int bytes = 0;
    for (long next = Math.max(0, version) + 1; next <= version(); next++) {
      bytes += get(next).getSerializedSize();
      if (page.size() == MAX_PUSH_RECORDS || (bytes > MAX_PUSH_BYTES && !page.isEmpty())) {
        break;
      }
      page.add(get(next));
    }
    return page;
  }
}
