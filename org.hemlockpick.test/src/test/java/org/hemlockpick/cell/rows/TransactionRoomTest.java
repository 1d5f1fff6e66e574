package org.hemlockpick.cell.rows;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.Transaction.Write;
import org.junit.jupiter.api.Test;

/** Tests how many rows are written in one transaction. */
class TransactionRoomTest {
  private static final RowName ROW = new RowName("progress", "0123456789abcdef/8999");
  private static final Write FULL =
      new Write(ROW, ByteString.copyFrom(new byte[RowLimits.DEFAULT_ROW_BYTES]));

  private static int count(TransactionRoom room, Write write) {
    int count = 0;
    while (room.tryTake(write)) {
      count++;
    }
    return count;
  }

  /** Guards against a transaction of large rows that is refused for its size. */
  @Test
  void largeRowsAreCountedAsTheyAreSent() {
    int rows = count(new TransactionRoom(1_000), FULL);
    int sentBytes = (RowLimits.DEFAULT_ROW_BYTES + 2) / 3 * 4;
    assertEquals(RowLimits.MAX_TRANSACTION_BYTES / (sentBytes + 600), rows);
  }

  /** Guards against a transaction of many rows that is refused for their number. */
  @Test
  void conditionCountsAsAnEntry() {
    TransactionRoom room = new TransactionRoom(1_000);
    assertEquals(RowLimits.MAX_ENTRIES - 1, count(room, new Write(ROW, ByteString.EMPTY)));
    assertFalse(room.tryTake(ROW));
  }

  /** Guards against a largest row that fits into no transaction beside those that are always in. */
  @Test
  void largestRowFitsBesideThoseOfTheCell() {
    ByteString largest = ByteString.copyFrom(new byte[RowLimits.MAX_ROW_BYTES]);
    TransactionRoom room = new TransactionRoom(1_000);
    room.take(largest);
    room.take(largest);
    room.take(largest);
    assertTrue(room.tryTake(new Write(ROW, largest)));
  }
}
