package org.hemlockpick.internal.request;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.errors.ResultCode.Effect;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.KeyRecord;
import org.hemlockpick.proto.KeyState;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Records the idempotency key of every non-idempotent request in the table service before the
 * request is sent, and its outcome afterwards. All writes of a commit interval go into one
 * transaction.
 *
 * <p>A key row is inserted only if none exists, so of all requests with the same key, at any entry
 * instance, only one is sent. A write whose reply was lost is retried unchanged; its write id in
 * the row shows that it was applied.
 */
final class IdempotencyKeyJournal implements LoopSystem {
  private static final long COMMIT_INTERVAL_MILLIS = 20;
  private static final long RETRY_DELAY_MILLIS = 250;
  private static final long KEY_RETENTION_MILLIS = 24 * 3_600_000L;
  private static final int MAX_RECORDED_BODY_BYTES = 4_096;
  private static final int MAX_WRITES_PER_COMMIT = 200;
  private static final int MAX_PENDING_OUTCOMES = 10_000;

  /** Holds a row write that is not settled yet: an insert, an update or a delete. */
  private static final class PendingWrite {
    final String key;
    final @Nullable Request request;
    KeyRecord record;
    long expectedVersion;
    boolean delete;

    PendingWrite(String key, @Nullable Request request, KeyRecord record, long expectedVersion) {
      this.key = key;
      this.request = request;
      this.record = record;
      this.expectedVersion = expectedVersion;
    }
  }

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final ArrayDeque<PendingWrite> pending = new ArrayDeque<>();
  private final Map<String, PendingWrite> recording = new LinkedHashMap<>();
  private final Map<String, Long> recordedVersions = new HashMap<>();
  private final Consumer<Request> onRecorded;
  private final BiConsumer<Request, KeyRecord> onDuplicate;
  private boolean commitInFlight;
  private long nextCommitAt;
  private long lastWriteNumber;

  /**
   * Creates an empty journal.
   *
   * @param onRecorded called when the key of a request is recorded and the request may be sent
   * @param onDuplicate called with a request and the row of an earlier request with the same key
   */
  IdempotencyKeyJournal(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      Consumer<Request> onRecorded,
      BiConsumer<Request, KeyRecord> onDuplicate) {
    this.settings = settings;
    this.outbox = outbox;
    this.store = store;
    this.onRecorded = onRecorded;
    this.onDuplicate = onDuplicate;
  }

  /** Returns whether a request with this key is open at this entry instance. */
  boolean isOpen(String customer, String idempotencyKey) {
    String key = rowKey(customer, idempotencyKey);
    return recording.containsKey(key) || recordedVersions.containsKey(key);
  }

  /** Queues the insert that records the key of a request. */
  void record(Request request) {
    String key = rowKey(request.customer, request.idempotencyKey);
    KeyRecord record =
        KeyRecord.newBuilder()
            .setState(KeyState.KEY_STARTED)
            .setInstance(settings.name())
            .setIncarnation(outbox.incarnation())
            .setWriteId(nextWriteId())
            .setExpiresAtMillis(outbox.now() + KEY_RETENTION_MILLIS)
            .setRequestDigest(request.digest())
            .build();
    PendingWrite write = new PendingWrite(key, request, record, 0);
    recording.put(key, write);
    pending.add(write);
  }

  /** Records the outcome of a request; the key of a request that did not run can be used again. */
  void finish(Request request, ResultCode code, ByteString body) {
    if (request.idempotencyKey.isEmpty() || request.isForwarded()) {
      return;
    }
    String key = rowKey(request.customer, request.idempotencyKey);
    PendingWrite insert = recording.get(key);
    if (insert != null && insert.request == request) {
      return; // The key is freed once the insert is settled.
    }
    Long version = recordedVersions.remove(key);
    if (version == null) {
      return;
    }
    KeyRecord.Builder record =
        KeyRecord.newBuilder()
            .setState(KeyState.KEY_DONE)
            .setInstance(settings.name())
            .setIncarnation(outbox.incarnation())
            .setWriteId(nextWriteId())
            .setCode(code.number())
            .setExpiresAtMillis(outbox.now() + KEY_RETENTION_MILLIS)
            .setRequestDigest(request.digest());
    if (body.size() <= MAX_RECORDED_BODY_BYTES) {
      record.setBody(body);
    } else {
      record.setBodyOmitted(true);
    }
    PendingWrite write = new PendingWrite(key, null, record.build(), version);
    write.delete = code.effect() == Effect.NOT_RUN;
    if (pendingOutcomes() < MAX_PENDING_OUTCOMES) {
      pending.add(write);
    }
  }

  /**
   * Returns the number of pending writes of outcomes. These stay queued during an outage of the
   * table service; inserts leave with the deadline of their request.
   */
  private long pendingOutcomes() {
    return pending.size() - (long) recording.size();
  }

  @Override
  public void run(long now) {
    if (commitInFlight || pending.isEmpty() || now < nextCommitAt) {
      return;
    }
    Map<String, PendingWrite> batch = new LinkedHashMap<>();
    for (PendingWrite write : pending) {
      if (batch.size() == MAX_WRITES_PER_COMMIT) {
        break;
      }
      batch.putIfAbsent(write.key, write);
    }
    pending.removeAll(batch.values());
    commit(new ArrayList<>(batch.values()), now);
  }

  private void commit(List<PendingWrite> batch, long now) {
    commitInFlight = true;
    nextCommitAt = now + COMMIT_INTERVAL_MILLIS;
    Transaction.Builder transaction = Transaction.newBuilder();
    for (PendingWrite write : batch) {
      transaction.addWrites(
          RowWrite.newBuilder()
              .setTable(TableNames.KEYS)
              .setKey(write.key)
              .setExpectedVersion(write.expectedVersion)
              .setDelete(write.delete)
              .setValue(write.record.toByteString()));
    }
    store.commit(transaction.build(), reply -> onReply(batch, reply));
  }

  private void onReply(List<PendingWrite> batch, StoreReply reply) {
    commitInFlight = false;
    if (reply.getStatus() == StoreStatus.STORE_OK) {
      batch.forEach(write -> settle(write, reply.getVersion()));
      return;
    }
    if (reply.getStatus() == StoreStatus.STORE_UNKNOWN) {
      nextCommitAt = outbox.now() + RETRY_DELAY_MILLIS;
      requeue(batch);
      return;
    }
    Map<String, Row> rows = new HashMap<>();
    reply.getRowsList().forEach(row -> rows.put(row.getKey(), row));
    List<PendingWrite> withoutConflict = new ArrayList<>();
    for (PendingWrite write : batch) {
      if (!rows.containsKey(write.key)) {
        withoutConflict.add(write);
        continue;
      }
      resolveConflict(write, rows.get(write.key));
    }
    requeue(withoutConflict);
  }

  private void requeue(List<PendingWrite> writes) {
    for (int i = writes.size() - 1; i >= 0; i--) {
      pending.addFirst(writes.get(i));
    }
  }

  /** Resolves a conflict by the row present in the table; version 0 means that there is none. */
  private void resolveConflict(PendingWrite write, Row row) {
    if (row.getVersion() == 0) {
      if (write.request != null) {
        pending.addFirst(write);
      }
      return;
    }
    KeyRecord present = parse(row);
    if (present.getWriteId().equals(write.record.getWriteId())) {
      settle(write, row.getVersion());
      return;
    }
    if (write.request == null) {
      return;
    }
    recording.remove(write.key, write);
    if (write.request.state == RequestState.RECORDING) {
      onDuplicate.accept(write.request, present);
    }
  }

  private void settle(PendingWrite write, long version) {
    if (write.request == null) {
      return;
    }
    recording.remove(write.key, write);
    if (write.request.state == RequestState.RECORDING) {
      recordedVersions.put(write.key, version);
      onRecorded.accept(write.request);
      return;
    }
    PendingWrite removal = new PendingWrite(write.key, null, write.record, version);
    removal.delete = true;
    pending.add(removal);
  }

  private static KeyRecord parse(Row row) {
    try {
      return KeyRecord.parseFrom(row.getValue());
    } catch (InvalidProtocolBufferException e) {
      return KeyRecord.newBuilder().setState(KeyState.KEY_STARTED).build();
    }
  }

  private String nextWriteId() {
    lastWriteNumber++;
    return settings.name() + "/" + outbox.incarnation() + "/" + lastWriteNumber;
  }

  private static String rowKey(String customer, String idempotencyKey) {
    return customer + "/" + idempotencyKey;
  }
}
