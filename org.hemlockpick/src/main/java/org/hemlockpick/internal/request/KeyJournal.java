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
 * request is sent, and its outcome afterwards. All keys of an interval go into one transaction.
 *
 * <p>A key row is inserted only where none exists, so of all requests with one key, at whichever
 * entry instance, one is sent. A write whose answer was lost is tried again unchanged; its own
 * write id in the row shows that it had been applied.
 */
final class KeyJournal implements LoopSystem {
  private static final long COMMIT_INTERVAL_MILLIS = 20;
  private static final long RETRY_MILLIS = 250;
  private static final long KEEP_MILLIS = 24 * 3_600_000L;
  private static final int MAX_RECORDED_BODY_BYTES = 4_096;
  private static final int MAX_WRITES = 200;
  private static final int MAX_PENDING_OUTCOMES = 10_000;

  /** A row that is to be written: an insert, an update or a delete. */
  private static final class Entry {
    final String key;
    final @Nullable Request request;
    KeyRecord record;
    long expectedVersion;
    boolean delete;

    Entry(String key, @Nullable Request request, KeyRecord record, long expectedVersion) {
      this.key = key;
      this.request = request;
      this.record = record;
      this.expectedVersion = expectedVersion;
    }
  }

  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final ArrayDeque<Entry> pending = new ArrayDeque<>();
  private final Map<String, Entry> recording = new LinkedHashMap<>();
  private final Map<String, Long> recorded = new HashMap<>();
  private final Consumer<Request> onRecorded;
  private final BiConsumer<Request, KeyRecord> onDuplicate;
  private boolean committing;
  private long nextCommit;
  private long lastWrite;

  /**
   * Creates an empty journal.
   *
   * @param onRecorded called when the key of a request is recorded and the request may be sent
   * @param onDuplicate called with the row of an earlier request with the same key
   */
  KeyJournal(
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

  /** Tells whether a request with this key is open at this entry instance. */
  boolean isOpen(String customer, String idempotencyKey) {
    String key = rowKey(customer, idempotencyKey);
    return recording.containsKey(key) || recorded.containsKey(key);
  }

  /** Begins to record the key of a request. */
  void record(Request request) {
    String key = rowKey(request.customer, request.idempotencyKey);
    KeyRecord record =
        KeyRecord.newBuilder()
            .setState(KeyState.KEY_STARTED)
            .setInstance(settings.name())
            .setIncarnation(outbox.incarnation())
            .setWriteId(nextWriteId())
            .setExpiresAtMillis(outbox.now() + KEEP_MILLIS)
            .setRequestDigest(request.digest())
            .build();
    Entry entry = new Entry(key, request, record, 0);
    recording.put(key, entry);
    pending.add(entry);
  }

  /** Records the outcome of a request; a key whose request did not run becomes free again. */
  void finish(Request request, ResultCode code, ByteString body) {
    if (request.idempotencyKey.isEmpty() || request.isForwarded()) {
      return;
    }
    String key = rowKey(request.customer, request.idempotencyKey);
    Entry unfinished = recording.get(key);
    if (unfinished != null && unfinished.request == request) {
      return; // Freed once the insert is settled.
    }
    Long version = recorded.remove(key);
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
            .setExpiresAtMillis(outbox.now() + KEEP_MILLIS)
            .setRequestDigest(request.digest());
    if (body.size() <= MAX_RECORDED_BODY_BYTES) {
      record.setBody(body);
    } else {
      record.setBodyOmitted(true);
    }
    Entry entry = new Entry(key, null, record.build(), version);
    entry.delete = code.effect() == Effect.NOT_RUN;
    if (outcomesPending() < MAX_PENDING_OUTCOMES) {
      pending.add(entry);
    }
  }

  /** Outcomes wait out an outage here; inserts leave with the deadline of their request. */
  private long outcomesPending() {
    return pending.size() - (long) recording.size();
  }

  @Override
  public void run(long now) {
    if (committing || pending.isEmpty() || now < nextCommit) {
      return;
    }
    Map<String, Entry> batch = new LinkedHashMap<>();
    for (Entry entry : pending) {
      if (batch.size() == MAX_WRITES) {
        break;
      }
      batch.putIfAbsent(entry.key, entry);
    }
    pending.removeAll(batch.values());
    commit(new ArrayList<>(batch.values()), now);
  }

  private void commit(List<Entry> batch, long now) {
    committing = true;
    nextCommit = now + COMMIT_INTERVAL_MILLIS;
    Transaction.Builder transaction = Transaction.newBuilder();
    for (Entry entry : batch) {
      transaction.addWrites(
          RowWrite.newBuilder()
              .setTable(TableNames.KEYS)
              .setKey(entry.key)
              .setExpectedVersion(entry.expectedVersion)
              .setDelete(entry.delete)
              .setValue(entry.record.toByteString()));
    }
    store.commit(transaction.build(), reply -> onReply(batch, reply));
  }

  private void onReply(List<Entry> batch, StoreReply reply) {
    committing = false;
    if (reply.getStatus() == StoreStatus.STORE_OK) {
      batch.forEach(entry -> settle(entry, reply.getVersion()));
      return;
    }
    if (reply.getStatus() == StoreStatus.STORE_UNKNOWN) {
      nextCommit = outbox.now() + RETRY_MILLIS;
      requeue(batch);
      return;
    }
    Map<String, Row> rows = new HashMap<>();
    reply.getRowsList().forEach(row -> rows.put(row.getKey(), row));
    List<Entry> again = new ArrayList<>();
    for (Entry entry : batch) {
      if (!rows.containsKey(entry.key)) {
        again.add(entry);
        continue;
      }
      resolve(entry, rows.get(entry.key));
    }
    requeue(again);
  }

  private void requeue(List<Entry> entries) {
    for (int i = entries.size() - 1; i >= 0; i--) {
      pending.addFirst(entries.get(i));
    }
  }

  /** Decides a conflict by the row that stands in the way; version 0 means that there is none. */
  private void resolve(Entry entry, Row row) {
    if (row.getVersion() == 0) {
      if (entry.request != null) {
        pending.addFirst(entry);
      }
      return;
    }
    KeyRecord present = parse(row);
    if (present.getWriteId().equals(entry.record.getWriteId())) {
      settle(entry, row.getVersion());
      return;
    }
    if (entry.request == null) {
      return;
    }
    recording.remove(entry.key, entry);
    if (entry.request.state == RequestState.RECORDING) {
      onDuplicate.accept(entry.request, present);
    }
  }

  private void settle(Entry entry, long version) {
    if (entry.request == null) {
      return;
    }
    recording.remove(entry.key, entry);
    if (entry.request.state == RequestState.RECORDING) {
      recorded.put(entry.key, version);
      onRecorded.accept(entry.request);
      return;
    }
    Entry removal = new Entry(entry.key, null, entry.record, version);
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
    lastWrite++;
    return settings.name() + "/" + outbox.incarnation() + "/" + lastWrite;
  }

  private static String rowKey(String customer, String idempotencyKey) {
    return customer + "/" + idempotencyKey;
  }
}
