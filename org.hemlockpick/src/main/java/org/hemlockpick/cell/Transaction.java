package org.hemlockpick.cell;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * A transaction over rows of one part, applied completely or not at all.
 *
 * @param part part that all rows are in
 * @param conditions versions that rows must have
 * @param writes rows to write
 * @param removals rows to remove
 */
public record Transaction(
    String part, List<Condition> conditions, List<Write> writes, List<RowName> removals) {

  /** Copies the lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
    removals = List.copyOf(removals);
  }

  /** Names a row of the part. */
  public record RowName(String table, String key) {}

  /** Requires that a row has a version; version 0 requires that it does not exist. */
  public record Condition(RowName row, long version) {}

  /** Sets the value of a row. */
  public record Write(RowName row, ByteString value) {}
}
