package org.hemlockpick.internal.batch;

import java.util.HashMap;
import java.util.Map;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.Transaction;

/**
 * Deletes rows of shards that an aborted submission left behind.
 *
 * <p>The transaction that writes the row of a large job also rewrites its shard 0. Shard 0 is
 * deleted first, so that a submission whose last transaction takes effect late cannot create a job
 * whose other shards are already deleted.
 */
final class AbandonedShardSweeper implements ShardListener {
  /** Time for which a row without a job must be unchanged before it is deleted, in milliseconds. */
  static final long MIN_SWEEP_AGE_MILLIS = 600_000;

  private record Sighting(long version, long firstAt) {}

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final Map<String, Sighting> sightings = new HashMap<>();

  AbandonedShardSweeper(InstanceSettings settings, Outbox outbox, StoreCalls store) {
    this.settings = settings;
    this.outbox = outbox;
    this.store = store;
  }

  @Override
  public void withoutJob(Shard shard, boolean jobAbsent) {
    long now = outbox.now();
    Sighting sighting = sightings.get(shard.key);
    if (sighting == null || sighting.version() != shard.version) {
      sightings.put(shard.key, new Sighting(shard.version, now));
    } else if (now - sighting.firstAt() >= MIN_SWEEP_AGE_MILLIS) {
      sightings.remove(shard.key);
      sweep(shard.key, shard.version, shard, jobAbsent);
    }
  }

  private void sweep(String key, long version, Shard shard, boolean jobAbsent) {
    if (shard.number == 0 || !jobAbsent) {
      delete(key, version);
      return;
    }
    String first = BatchRows.shardKey(settings.zone(), shard.job, 0);
    store.read(
        TableNames.SHARDS,
        first,
        reply -> {
          if (reply.getStatus() == StoreStatus.STORE_OK && reply.getRowsCount() == 0) {
            delete(key, version);
          }
        });
  }

  private void delete(String key, long version) {
    RowWrite write =
        RowWrite.newBuilder()
            .setTable(TableNames.SHARDS)
            .setKey(key)
            .setExpectedVersion(version)
            .setDelete(true)
            .build();
    store.commit(
        Transaction.newBuilder().addWrites(write).build(),
        reply -> outbox.event("shard-swept", key, reply.getStatus().name()));
  }
}
