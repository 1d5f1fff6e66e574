package org.hemlockpick.cell.rows;

import com.google.protobuf.ByteString;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.Transaction.Write;

/** Counts the rows and bytes of a transaction while it is built. */
public final class TransactionRoom {
  /** Largest part, table and field names of an entry, in bytes. */
  private static final int ENTRY_BYTES = 600;

  private int rowsLeft;
  private int bytesLeft = RowLimits.MAX_TRANSACTION_BYTES;

  /**
   * Creates the room of an empty transaction.
   *
   * @param maxRows maximum number of rows that are written or removed
   */
  public TransactionRoom(int maxRows) {
    this.rowsLeft = Math.min(maxRows, RowLimits.MAX_ENTRIES - 1);
    // The condition on the row of the lease.
    bytesLeft -= ENTRY_BYTES;
  }

  /** Counts a row that is written in any case. */
  public void take(ByteString value) {
    rowsLeft--;
    bytesLeft -= bytes(value);
  }

  /** Counts a row that is written if there is room for it; returns whether there is. */
  public boolean tryTake(Write write) {
    if (rowsLeft < 1 || bytes(write.value()) > bytesLeft) {
      return false;
    }
    take(write.value());
    return true;
  }

  /** Counts a row that is removed if there is room for it; returns whether there is. */
  public boolean tryTake(RowName removal) {
    if (rowsLeft < 1 || ENTRY_BYTES > bytesLeft) {
      return false;
    }
    rowsLeft--;
    bytesLeft -= ENTRY_BYTES;
    return true;
  }

  /** Returns the size of an entry, whose value is sent as base64. */
  private static int bytes(ByteString value) {
    return ENTRY_BYTES + (value.size() + 2) / 3 * 4;
  }
}
