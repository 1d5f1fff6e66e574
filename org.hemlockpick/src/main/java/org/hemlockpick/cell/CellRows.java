package org.hemlockpick.cell;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.proto.CellRecord;
import org.hemlockpick.proto.LearnedRecord;
import org.hemlockpick.proto.RosterRecord;
import org.hemlockpick.proto.SetAsideRecord;

/** Names and parses the rows of a cell in the table service. */
final class CellRows {
  static final String TABLE = "cells";

  private static final String ROSTER = "/roster";
  private static final String LEARNED = "/learned";
  private static final String SET_ASIDE = "/set-aside";
  private static final String RANGE_END = "/~";

  private CellRows() {}

  static RowName lease(String cell) {
    return new RowName(TABLE, cell);
  }

  static RowName roster(String cell) {
    return new RowName(TABLE, cell + ROSTER);
  }

  static RowName learned(String cell) {
    return new RowName(TABLE, cell + LEARNED);
  }

  static RowName setAside(String cell) {
    return new RowName(TABLE, cell + SET_ASIDE);
  }

  /** Returns the range that holds only the row of the lease. */
  static TableService.Range leaseRange(String cell) {
    return new TableService.Range(TABLE, cell, cell, cell + "/");
  }

  /** Returns the range that holds only the row of the jobs that are set aside. */
  static TableService.Range setAsideRange(String cell) {
    return new TableService.Range(TABLE, cell, cell + SET_ASIDE, cell + SET_ASIDE + "/");
  }

  /** Returns the range of all rows of a cell. */
  static TableService.Range range(String cell) {
    return new TableService.Range(TABLE, cell, cell, cell + RANGE_END);
  }

  /** Returns the lease; empty if the bytes cannot be read. */
  static Optional<CellRecord> lease(ByteString value) {
    try {
      CellRecord record = CellRecord.parseFrom(value);
      return record.getFormat() == JobRows.FORMAT ? Optional.of(record) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the learned state; empty if the bytes cannot be read. */
  static Optional<LearnedRecord> learned(ByteString value) {
    try {
      LearnedRecord record = LearnedRecord.parseFrom(value);
      return record.getFormat() == JobRows.FORMAT ? Optional.of(record) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the jobs that are set aside; empty if the bytes cannot be read. */
  static Optional<SetAsideRecord> setAside(ByteString value) {
    try {
      SetAsideRecord record = SetAsideRecord.parseFrom(value);
      return record.getFormat() == JobRows.FORMAT ? Optional.of(record) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns the roster; empty if the bytes cannot be read. */
  static Optional<RosterRecord> roster(ByteString value) {
    try {
      RosterRecord record = RosterRecord.parseFrom(value);
      return record.getFormat() == JobRows.FORMAT ? Optional.of(record) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }
}
