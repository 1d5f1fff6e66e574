package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.util.RendezvousHashing;

/**
 * Finds the shards of this entry instance and takes over orphaned ones, whose holder is dead,
 * replaced or leaving. If two entry instances claim the same shard, the row names only one of them,
 * so no harm is done.
 */
final class ShardTakeover implements LoopSystem {
  /** Interval between scans while the set of live entry instances is unchanged, in milliseconds. */
  private static final long SCAN_INTERVAL_MILLIS = 20_000;

  /** Interval between checks of the live entry instances, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 500;

  /** Delay of the scan after an outage of the store, to wait for late writes, in milliseconds. */
  private static final long SCAN_DELAY_AFTER_OUTAGE_MILLIS = 2_000;

  /** Delay before a scan without an answer is retried, in milliseconds. */
  private static final long RETRY_MILLIS = 1_000;

  private static final int PAGE_ROWS = 200;

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final PeerTable peers;
  private final WorkerTable workers;
  private final ShardTable shards;
  private Set<ShardHolder> liveHolders = Set.of();
  private long startedAt = -1;
  private long nextCheck = Long.MIN_VALUE;
  private long nextScan = Long.MIN_VALUE;
  private boolean scanning;
  private boolean storeWasReachable = true;

  ShardTakeover(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      PeerTable peers,
      WorkerTable workers,
      ShardTable shards) {
    this.settings = settings;
    this.outbox = outbox;
    this.store = store;
    this.peers = peers;
    this.workers = workers;
    this.shards = shards;
  }

  @Override
  public void run(long now) {
    if (startedAt < 0) {
      startedAt = now;
    }
    if (now < nextCheck || now - startedAt < settings.timing().startWait().toMillis()) {
      return;
    }
    nextCheck = now + CHECK_INTERVAL_MILLIS;
    scanAfterOutage(now);
    Set<ShardHolder> current = new HashSet<>(candidates(now));
    if (!current.equals(liveHolders)) {
      liveHolders = current;
      nextScan = now;
    }
    if (!scanning && now >= nextScan) {
      scanning = true;
      nextScan = now + SCAN_INTERVAL_MILLIS;
      scan("");
    }
  }

  /**
   * Schedules an early scan after an outage of the store. It finds shards for which no hint was
   * sent because the answers to late writes were lost.
   */
  private void scanAfterOutage(long now) {
    boolean reachable = store.isReachable();
    if (reachable && !storeWasReachable) {
      nextScan = Math.min(nextScan, now + SCAN_DELAY_AFTER_OUTAGE_MILLIS);
    }
    storeWasReachable = reachable;
  }

  /**
   * Returns the entry instances that may hold the shards of a new job: those that own workers, or
   * all if none does.
   */
  List<ShardHolder> holdersOfNewShards(long now) {
    List<ShardHolder> all = candidates(now);
    List<ShardHolder> working = all.stream().filter(holder -> ownsWorkers(holder, now)).toList();
    return working.isEmpty() ? all : working;
  }

  private boolean ownsWorkers(ShardHolder holder, long now) {
    Peer peer = peers.find(holder.name());
    return peer == null ? !workers.held(now).isEmpty() : peer.heartbeat().getWorkersCount() > 0;
  }

  private List<ShardHolder> candidates(long now) {
    List<ShardHolder> candidates = new ArrayList<>();
    candidates.add(new ShardHolder(settings.name(), outbox.incarnation()));
    for (Peer peer : peers.aliveInZone(now)) {
      if (peer.heartbeat().getReady() && !peer.heartbeat().getLeaving()) {
        candidates.add(new ShardHolder(peer.name(), peer.incarnation()));
      }
    }
    return candidates;
  }

  private void scan(String after) {
    RowScan scan =
        RowScan.newBuilder()
            .setTable(TableNames.SHARDS)
            .setPrefix(BatchRows.zonePrefix(settings.zone()))
            .setAfter(after)
            .setLimit(PAGE_ROWS)
            .build();
    long sentAt = outbox.now();
    store.scan(scan, reply -> onPage(sentAt, reply));
  }

  private void onPage(long sentAt, StoreReply reply) {
    if (reply.getStatus() != StoreStatus.STORE_OK) {
      scanning = false;
      nextScan = outbox.now() + RETRY_MILLIS;
      return;
    }
    reply.getRowsList().forEach(row -> inspect(row, sentAt));
    if (reply.getRowsCount() < PAGE_ROWS) {
      scanning = false;
      return;
    }
    scan(reply.getRows(reply.getRowsCount() - 1).getKey());
  }

  private void inspect(Row row, long sentAt) {
    ShardRecord record = BatchRows.shard(row);
    boolean own =
        record.getHolder().equals(settings.name())
            && record.getHolderIncarnation() == outbox.incarnation();
    if (own || shards.find(row.getKey()) != null) {
      shards.load(row, sentAt);
    }
    if (!own && isOrphaned(record) && isRankedFirst(row.getKey())) {
      claim(row, sentAt);
    }
  }

  private void claim(Row row, long sentAt) {
    Shard shard = shards.load(row, sentAt);
    if (shard != null && shard.version == row.getVersion() && !shards.isHeld(shard)) {
      shards.claim(shard);
    }
  }

  private boolean isOrphaned(ShardRecord record) {
    Peer peer = peers.find(record.getHolder());
    return peer == null
        || !peers.isAlive(peer, outbox.now())
        || peer.incarnation() > record.getHolderIncarnation()
        || peer.heartbeat().getLeaving();
  }

  private boolean isRankedFirst(String key) {
    List<String> names = candidates(outbox.now()).stream().map(ShardHolder::name).toList();
    return RendezvousHashing.rank(key, names).get(0).equals(settings.name());
  }
}
