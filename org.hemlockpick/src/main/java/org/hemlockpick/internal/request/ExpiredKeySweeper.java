package org.hemlockpick.internal.request;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.KeyRecord;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.Transaction;
import org.hemlockpick.util.RendezvousHashing;

/**
 * Deletes the rows of expired idempotency keys. One of all live entry instances does it, a page at
 * a time; two that both consider themselves responsible do no harm.
 */
final class ExpiredKeySweeper implements LoopSystem {
  private static final long INTERVAL_MILLIS = 10_000;
  private static final int PAGE_ROWS = 200;

  private final InstanceSettings settings;
  private final StoreCalls store;
  private final PeerTable peers;
  private long nextSweepAt;
  private String lastKey = "";
  private boolean scanInFlight;

  ExpiredKeySweeper(InstanceSettings settings, StoreCalls store, PeerTable peers) {
    this.settings = settings;
    this.store = store;
    this.peers = peers;
  }

  @Override
  public void run(long now) {
    if (nextSweepAt == 0) {
      nextSweepAt = now + INTERVAL_MILLIS;
    }
    if (scanInFlight || now < nextSweepAt) {
      return;
    }
    nextSweepAt = now + INTERVAL_MILLIS;
    if (!isResponsible(now)) {
      return;
    }
    scanInFlight = true;
    RowScan scan =
        RowScan.newBuilder()
            .setTable(TableNames.KEYS)
            .setAfter(lastKey)
            .setLimit(PAGE_ROWS)
            .build();
    store.scan(scan, reply -> onPage(reply, now));
  }

  private boolean isResponsible(long now) {
    List<String> candidates = new ArrayList<>();
    candidates.add(settings.name());
    peers.alive(now).stream().map(Peer::name).forEach(candidates::add);
    return RendezvousHashing.rank(TableNames.KEYS, candidates).get(0).equals(settings.name());
  }

  private void onPage(StoreReply reply, long now) {
    scanInFlight = false;
    if (reply.getStatus() != StoreStatus.STORE_OK) {
      return;
    }
    int rows = reply.getRowsCount();
    lastKey = rows < PAGE_ROWS ? "" : reply.getRows(rows - 1).getKey();
    Transaction.Builder deletes = Transaction.newBuilder();
    for (Row row : reply.getRowsList()) {
      if (isExpired(row, now)) {
        deletes.addWrites(
            RowWrite.newBuilder()
                .setTable(TableNames.KEYS)
                .setKey(row.getKey())
                .setExpectedVersion(row.getVersion())
                .setDelete(true));
      }
    }
    if (deletes.getWritesCount() > 0) {
      store.commit(deletes.build(), ignored -> {});
    }
  }

  private static boolean isExpired(Row row, long now) {
    try {
      return KeyRecord.parseFrom(row.getValue()).getExpiresAtMillis() <= now;
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }
}
