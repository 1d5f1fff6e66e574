package org.hemlockpick.internal.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.KeyRecord;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.Transaction;
import org.hemlockpick.standin.TableModel;
import org.junit.jupiter.api.Test;

/** Checks that idempotency-key rows are kept until they expire and deleted afterwards. */
class ExpiredKeySweeperTest {
  private static final long START_MILLIS = 1_000_000;
  private static final int KEYS = 450;

  private final InstanceSettings settings =
      new InstanceSettings("a", "zone", List.of(new RosterMember("a", "zone")), Timing.defaults());
  private final Outbox outbox = new Outbox(settings, 1);
  private final StoreCalls store = new StoreCalls(outbox, settings.timing());
  private final ExpiredKeySweeper sweeper =
      new ExpiredKeySweeper(settings, store, new PeerTable(settings));
  private final TableModel table = new TableModel();

  @Test
  void onlyExpiredKeysAreDeletedOnAllPages() {
    for (int i = 0; i < KEYS; i++) {
      insert("customer/key-%03d".formatted(i), START_MILLIS + (i % 3 == 0 ? 1 : 10_000_000));
    }

    for (long now = START_MILLIS; now < START_MILLIS + 120_000; now += 1_000) {
      tick(now);
    }

    assertEquals(KEYS - KEYS / 3, keys().size());
  }

  private void insert(String key, long expiresAt) {
    KeyRecord record = KeyRecord.newBuilder().setExpiresAtMillis(expiresAt).build();
    RowWrite.Builder write =
        RowWrite.newBuilder().setTable(TableNames.KEYS).setKey(key).setValue(record.toByteString());
    table.handle(
        StoreCall.newBuilder().setTransaction(Transaction.newBuilder().addWrites(write)).build());
  }

  private void tick(long now) {
    outbox.beginTick(now);
    sweeper.run(now);
    for (Output output : outbox.drain()) {
      if (output.hasStoreCall()) {
        store.on(table.handle(output.getStoreCall()));
      }
    }
    outbox.drain().stream()
        .filter(Output::hasStoreCall)
        .forEach(output -> store.on(table.handle(output.getStoreCall())));
  }

  private List<Row> keys() {
    RowScan scan = RowScan.newBuilder().setTable(TableNames.KEYS).setLimit(1_000).build();
    return table.handle(StoreCall.newBuilder().setScan(scan).build()).getRowsList();
  }
}
