package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Writes the shards changed in an interval in one transaction; one transaction is open at a time.
 *
 * <p>A transaction without an answer is sent again unchanged until its outcome is known: the first
 * copy may take effect at any later time, and the write id in the row then shows that it did.
 */
final class ShardJournal implements LoopSystem {
  /** Maximum number of shards in one transaction. */
  static final int MAX_SHARDS = 128;

  /** Delay before a transaction without an answer is sent again, in milliseconds. */
  private static final long RETRY_MILLIS = 500;

  private record Entry(Shard shard, ShardRecord record, boolean finished) {}

  private record Commit(List<Entry> entries, Transaction transaction) {}

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final ShardTable shards;
  private final WriteIdGenerator writeIds;
  private @Nullable Commit openCommit;
  private long retryAt = Long.MAX_VALUE;
  private long nextCommit = Long.MIN_VALUE;

  ShardJournal(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      ShardTable shards,
      WriteIdGenerator writeIds) {
    this.settings = settings;
    this.outbox = outbox;
    this.store = store;
    this.shards = shards;
    this.writeIds = writeIds;
  }

  /** Returns whether every change of held shards is in the table service. */
  boolean isFlushed() {
    return openCommit == null && !shards.hasDirtyHeld();
  }

  /** Returns whether a shard is part of the open transaction. */
  boolean isWriting(Shard shard) {
    Commit commit = openCommit;
    return commit != null && commit.entries().stream().anyMatch(entry -> entry.shard() == shard);
  }

  @Override
  public void run(long now) {
    Commit commit = openCommit;
    if (commit != null) {
      if (now >= retryAt) {
        send(commit);
      }
      return;
    }
    if (now >= nextCommit && shards.hasDirty()) {
      beginCommit(now);
    }
  }

  private void beginCommit(long now) {
    List<Entry> entries = new ArrayList<>();
    Transaction.Builder transaction = Transaction.newBuilder();
    for (Shard shard : shards.takeDirty(MAX_SHARDS)) {
      if (shard.isChanged()) {
        Entry entry = entry(shard);
        entries.add(entry);
        addWrites(transaction, entry);
      }
    }
    if (entries.isEmpty()) {
      return;
    }
    nextCommit = now + settings.timing().journalInterval().toMillis();
    Commit commit = new Commit(entries, transaction.build());
    openCommit = commit;
    send(commit);
  }

  private Entry entry(Shard shard) {
    ShardHolder holder = holder(shard);
    ShardRecord record = shard.wanted(holder.name(), holder.incarnation(), writeIds.next());
    return new Entry(shard, record, shard.isFinished());
  }

  private ShardHolder holder(Shard shard) {
    if (shard.claimed) {
      return new ShardHolder(settings.name(), outbox.incarnation());
    }
    ShardHolder next = shard.handedTo;
    return next == null ? new ShardHolder(shard.holder, shard.holderIncarnation) : next;
  }

  private static void addWrites(Transaction.Builder transaction, Entry entry) {
    Shard shard = entry.shard();
    RowWrite.Builder write =
        RowWrite.newBuilder()
            .setTable(TableNames.SHARDS)
            .setKey(shard.key)
            .setExpectedVersion(shard.version);
    if (!entry.finished()) {
      transaction.addWrites(write.setValue(entry.record().toByteString()));
      return;
    }
    transaction.addWrites(write.setDelete(true));
    transaction.addWrites(
        RowWrite.newBuilder()
            .setTable(TableNames.FINISHED_SHARDS)
            .setKey(shard.key)
            .setValue(entry.record().toByteString()));
  }

  private void send(Commit commit) {
    retryAt = Long.MAX_VALUE;
    long sentAt = outbox.now();
    store.commit(commit.transaction(), reply -> onReply(commit, sentAt, reply));
  }

  private void onReply(Commit commit, long sentAt, StoreReply reply) {
    switch (reply.getStatus()) {
      case STORE_OK -> {
        openCommit = null;
        commit.entries().forEach(entry -> applied(entry, reply.getVersion(), sentAt));
      }
      case STORE_CONFLICT -> {
        openCommit = null;
        onConflict(commit, sentAt, reply.getRowsList());
      }
      default -> retryAt = outbox.now() + RETRY_MILLIS;
    }
  }

  private void applied(Entry entry, long version, long sentAt) {
    if (entry.finished()) {
      shards.finished(entry.shard());
    } else {
      shards.committed(entry.shard(), entry.record(), version, sentAt);
    }
  }

  private void onConflict(Commit commit, long sentAt, List<Row> rows) {
    Map<String, Row> live = new HashMap<>();
    Map<String, Row> finished = new HashMap<>();
    for (Row row : rows) {
      (row.getTable().equals(TableNames.SHARDS) ? live : finished).put(row.getKey(), row);
    }
    for (Entry entry : commit.entries()) {
      String key = entry.shard().key;
      resolve(entry, live.get(key), finished.get(key), sentAt);
    }
  }

  private void resolve(Entry entry, @Nullable Row live, @Nullable Row finished, long sentAt) {
    Shard shard = entry.shard();
    if (live == null && finished == null) {
      shards.markDirty(shard);
    } else if (finished != null && finished.getVersion() != 0) {
      resolveFinished(entry, finished);
    } else if (live == null || live.getVersion() == 0) {
      shards.dropAbsent(shard);
    } else if (BatchRows.shard(live).getWriteId().equals(entry.record().getWriteId())) {
      shards.committed(shard, entry.record(), live.getVersion(), sentAt);
      shards.markDirty(shard);
    } else {
      shards.reload(shard, live, sentAt);
    }
  }

  private void resolveFinished(Entry entry, Row finished) {
    if (BatchRows.shard(finished).getWriteId().equals(entry.record().getWriteId())) {
      shards.finished(entry.shard());
    } else {
      shards.dropAbsent(entry.shard());
    }
  }
}
