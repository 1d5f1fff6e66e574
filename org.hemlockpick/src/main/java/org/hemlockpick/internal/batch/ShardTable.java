package org.hemlockpick.internal.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.ShardHint;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.TaskRecord;
import org.hemlockpick.proto.TaskState;
import org.jspecify.annotations.Nullable;

/**
 * Holds the loaded shards and keeps the indexes of their tasks.
 *
 * <p>A shard is held when its row names this entry instance. Other shards are loaded temporarily
 * when their row must be updated from a report of a worker that this entry instance owns.
 */
final class ShardTable {
  /**
   * Time for which a dropped shard is remembered, in milliseconds; longer than any read of its row
   * takes.
   */
  private static final long DROPPED_RETENTION_MILLIS = 10_000;

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final JobTable jobs;
  private final WorkerLoadTable loads;
  private final CustomerTaskUnits units;
  private final List<ShardListener> listeners = new ArrayList<>();
  private final Map<String, Shard> shards = new LinkedHashMap<>();
  private final Map<String, Long> droppedAt = new LinkedHashMap<>();
  private final Set<String> loading = new LinkedHashSet<>();
  private final Set<Shard> dirty = new LinkedHashSet<>();

  ShardTable(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      JobTable jobs,
      WorkerLoadTable loads,
      CustomerTaskUnits units) {
    this.settings = settings;
    this.outbox = outbox;
    this.store = store;
    this.jobs = jobs;
    this.loads = loads;
    this.units = units;
  }

  void addListener(ShardListener listener) {
    listeners.add(listener);
  }

  @Nullable Shard find(String key) {
    return shards.get(key);
  }

  @Nullable Shard find(String job, int index) {
    return shards.get(BatchRows.shardKey(settings.zone(), job, BatchRows.shardOf(index)));
  }

  Collection<Shard> all() {
    return new ArrayList<>(shards.values());
  }

  boolean isHeld(Shard shard) {
    return shard.isHeldBy(settings.name(), outbox.incarnation());
  }

  int heldCount() {
    return (int) shards.values().stream().filter(this::isHeld).count();
  }

  boolean isDirty(Shard shard) {
    return dirty.contains(shard);
  }

  boolean hasDirty() {
    return !dirty.isEmpty();
  }

  boolean hasDirtyHeld() {
    return dirty.stream().anyMatch(this::isHeld);
  }

  /** Returns the shards to write next, oldest change first, and marks them as clean. */
  List<Shard> takeDirty(int limit) {
    List<Shard> taken = dirty.stream().limit(limit).toList();
    taken.forEach(dirty::remove);
    return taken;
  }

  void markDirty(Shard shard) {
    if (shards.get(shard.key) == shard) {
      dirty.add(shard);
    }
  }

  /** Changes a task; its row is updated with the next group commit. */
  void change(Task task, TaskRecord next) {
    setWanted(task, next);
    markDirty(task.shard);
  }

  /** Makes this entry instance the holder of a shard with the next group commit. */
  void claim(Shard shard) {
    shard.claimed = true;
    markDirty(shard);
  }

  /**
   * Hands a held shard over with the next group commit; from now on none of its tasks is assigned.
   */
  void handOver(Shard shard, ShardHolder peer) {
    Job job = shard.indexedUnder;
    if (job != null) {
      shard.handedTo = peer;
      shard.tasks.forEach(task -> job.queued.remove(task.wanted.getIndex(), task));
      markDirty(shard);
    }
  }

  /**
   * Loads a shard from a row that was read.
   *
   * @param sentAt time at which the read was sent, in milliseconds
   * @return the loaded shard; null when it was dropped since the read was sent
   */
  @Nullable Shard load(Row row, long sentAt) {
    Shard loaded = shards.get(row.getKey());
    if (loaded != null) {
      reload(loaded, row, sentAt);
      return shards.get(row.getKey());
    }
    if (sentAt <= droppedAt.getOrDefault(row.getKey(), Long.MIN_VALUE)) {
      return null;
    }
    Shard shard = new Shard(row.getKey(), BatchRows.shard(row), row.getVersion(), outbox.now());
    shard.knownAt = sentAt;
    shards.put(shard.key, shard);
    attachJob(shard);
    return shard;
  }

  /** Reads the row of a shard and loads or updates the shard; drops it when the row is gone. */
  void read(String key) {
    if (!loading.add(key)) {
      return;
    }
    long sentAt = outbox.now();
    Shard loaded = shards.get(key);
    long version = loaded == null ? 0 : loaded.version;
    store.read(TableNames.SHARDS, key, reply -> onRead(key, sentAt, version, reply));
  }

  /**
   * Updates a loaded shard from its current row. If the row is newer than the known version,
   * changes that are not yet written are discarded.
   */
  void reload(Shard shard, Row row, long sentAt) {
    if (row.getVersion() < shard.version || shards.get(shard.key) != shard) {
      return;
    }
    shard.knownAt = Math.max(shard.knownAt, sentAt);
    if (row.getVersion() == shard.version) {
      return;
    }
    ShardRecord record = BatchRows.shard(row);
    boolean wasHeld = isHeld(shard);
    shard.version = row.getVersion();
    unindex(shard);
    shard.holder = record.getHolder();
    shard.holderIncarnation = record.getHolderIncarnation();
    shard.claimed = false;
    shard.handedTo = null;
    dirty.remove(shard);
    for (int i = 0; i < shard.tasks.size(); i++) {
      Task task = shard.tasks.get(i);
      setCommitted(task, record.getTasks(i));
      setWanted(task, record.getTasks(i));
    }
    if (wasHeld && !isHeld(shard)) {
      outbox.event("shard-lost", shard.key, "held by " + shard.holder);
      drop(shard);
      return;
    }
    attachJob(shard);
  }

  /** Records that a commit wrote the row of a shard. */
  void committed(Shard shard, ShardRecord record, long version, long sentAt) {
    if (version < shard.version || shards.get(shard.key) != shard) {
      return;
    }
    boolean wasHeld = isHeld(shard);
    shard.version = version;
    shard.knownAt = Math.max(shard.knownAt, sentAt);
    shard.holder = record.getHolder();
    shard.holderIncarnation = record.getHolderIncarnation();
    for (int i = 0; i < shard.tasks.size(); i++) {
      setCommitted(shard.tasks.get(i), record.getTasks(i));
    }
    if (isHeld(shard)) {
      shard.claimed = false;
    } else if (wasHeld) {
      handedOver(shard);
      return;
    }
    if (isHeld(shard) && !wasHeld) {
      unindex(shard);
    }
    attachJob(shard);
  }

  private void handedOver(Shard shard) {
    outbox.event("shard-handed-over", shard.key, "to " + shard.holder);
    ShardHint.Builder hint = ShardHint.newBuilder().setJob(shard.job).setShard(shard.number);
    outbox.send(shard.holder, PeerMessage.newBuilder().setShardHint(hint));
    drop(shard);
  }

  /** Records that a commit moved the row to the finished shards. */
  void finished(Shard shard) {
    shard.tasks.forEach(task -> setCommitted(task, task.wanted));
    drop(shard);
  }

  /** Unloads a shard without writing its changes. */
  void drop(Shard shard) {
    unindex(shard);
    if (shards.get(shard.key) != shard) {
      return;
    }
    shards.remove(shard.key);
    dirty.remove(shard);
    droppedAt.remove(shard.key);
    droppedAt.put(shard.key, outbox.now());
    Job job = jobs.find(shard.job);
    if (job != null) {
      jobs.release(job);
    }
  }

  /** Notifies the listeners for each loaded shard of a job that changed. */
  void jobChanged(Job job) {
    List.copyOf(job.shards.values()).forEach(this::notifyListeners);
  }

  /** Removes expired entries of dropped shards and retries reads of jobs that failed. */
  void cleanUp(long now) {
    droppedAt.values().removeIf(at -> now - at > DROPPED_RETENTION_MILLIS);
    for (Shard shard : all()) {
      if (shard.indexedUnder == null) {
        attachJob(shard);
      }
    }
  }

  private void onRead(String key, long sentAt, long versionAtRead, StoreReply reply) {
    loading.remove(key);
    if (reply.getStatus() != StoreStatus.STORE_OK) {
      return;
    }
    Shard loaded = shards.get(key);
    if (reply.getRowsCount() > 0) {
      load(reply.getRows(0), sentAt);
    } else if (loaded == null) {
      listeners.forEach(listener -> listener.absent(key));
    } else if (loaded.version == versionAtRead) {
      dropAbsent(loaded);
    }
  }

  /** Drops a shard whose row is gone: every attempt in it has ended and is recorded. */
  void dropAbsent(Shard shard) {
    for (Task task : shard.tasks) {
      if (task.committed.getState() == TaskState.ASSIGNED) {
        loads.of(task.committed.getWorker()).markRecorded(task.ref(task.committed.getAttempt()));
      }
    }
    drop(shard);
  }

  private void attachJob(Shard shard) {
    if (shard.indexedUnder != null) {
      notifyListeners(shard);
      return;
    }
    jobs.with(shard.job, job -> attach(shard, job));
  }

  private void attach(Shard shard, @Nullable Job job) {
    if (shards.get(shard.key) != shard || shard.indexedUnder != null) {
      return;
    }
    if (job == null || shard.number >= job.record.getShards()) {
      drop(shard);
      listeners.forEach(listener -> listener.withoutJob(shard, job == null));
      return;
    }
    shard.indexedUnder = job;
    job.shards.put(shard.number, shard);
    shard.tasks.forEach(task -> index(task, job));
    notifyListeners(shard);
  }

  private void notifyListeners(Shard shard) {
    for (ShardListener listener : listeners) {
      if (shards.get(shard.key) == shard && shard.indexedUnder != null) {
        listener.changed(shard);
      }
    }
  }

  /**
   * Sets the record of a task from its row. If the row no longer assigns the previous attempt, that
   * attempt is marked as recorded, so that the worker may forget it.
   */
  private void setCommitted(Task task, TaskRecord next) {
    TaskRecord previous = task.committed;
    task.committed = next;
    boolean same =
        next.getState() == TaskState.ASSIGNED && next.getAttempt() == previous.getAttempt();
    if (previous.getState() == TaskState.ASSIGNED && !same) {
      loads.of(previous.getWorker()).markRecorded(task.ref(previous.getAttempt()));
    }
  }

  private void setWanted(Task task, TaskRecord next) {
    boolean sameAttempt =
        next.getState() == TaskState.ASSIGNED && next.getAttempt() == task.wanted.getAttempt();
    Job job = task.shard.indexedUnder;
    if (job != null) {
      unindex(task, job);
    }
    task.wanted = next;
    if (!sameAttempt) {
      task.confirmed = false;
      task.refusals = 0;
      task.nextStartAt = 0;
    }
    if (job != null) {
      index(task, job);
    }
    if (task.occupiesUnit && next.getState() != TaskState.ASSIGNED && job != null) {
      release(task, job);
    }
  }

  private void index(Task task, Job job) {
    boolean held = isHeld(task.shard);
    if (task.state() == TaskState.QUEUED && held && task.shard.handedTo == null) {
      job.queued.put(task.wanted.getIndex(), task);
    }
    if (task.state() == TaskState.ASSIGNED) {
      WorkerLoad load = loads.of(task.wanted.getWorker());
      load.assigned.add(task);
      task.reportsAtAssignment = load.reports();
      if (held && !task.occupiesUnit) {
        task.occupiesUnit = true;
        units.acquireUnconditionally(job.customer());
      }
    }
  }

  private void unindex(Task task, Job job) {
    job.queued.remove(task.wanted.getIndex(), task);
    if (task.state() == TaskState.ASSIGNED) {
      WorkerLoad load = loads.of(task.wanted.getWorker());
      load.assigned.remove(task);
      load.unstarted.remove(task);
    }
  }

  private void unindex(Shard shard) {
    Job job = shard.indexedUnder;
    if (job == null) {
      return;
    }
    for (Task task : shard.tasks) {
      unindex(task, job);
      if (task.occupiesUnit) {
        release(task, job);
      }
    }
    job.shards.remove(shard.number, shard);
    shard.indexedUnder = null;
  }

  private void release(Task task, Job job) {
    task.occupiesUnit = false;
    units.release(job.customer());
  }
}
