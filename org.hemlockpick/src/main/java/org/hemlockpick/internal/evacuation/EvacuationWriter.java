package org.hemlockpick.internal.evacuation;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.EvacuationChange;
import org.hemlockpick.proto.EvacuationRecord;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Writes operators' changes to the table service, one after another.
 *
 * <p>A change reads the row of its availability zone and overwrites the version that it read. When
 * the reply to the write is lost, the row is read back: another version proves that the write was
 * applied or never will be. The row is also rewritten when the zone is already in the wanted state,
 * and kept when an evacuation ends. Otherwise an earlier write whose reply was lost could still be
 * applied after a later change was confirmed.
 */
final class EvacuationWriter implements LoopSystem {
  /** Format version of the rows written here. */
  static final int FORMAT = 1;

  /** Maximum number of pending changes at one entry instance. */
  static final int MAX_PENDING_CHANGES = 16;

  /** Time limit of a change, as a multiple of the time limit of a store call. */
  private static final int STORE_TIMEOUTS_PER_CHANGE = 4;

  /** Delay after a store call without a reply, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 200;

  private final Deque<PendingEvacuation> pending = new ArrayDeque<>();
  private final EvacuationTable table;
  private final StoreCalls store;
  private final Outbox outbox;
  private final long storeTimeoutMillis;
  private boolean callInFlight;
  private long nextCallAt = Long.MIN_VALUE;

  EvacuationWriter(EvacuationTable table, StoreCalls store, Outbox outbox, Timing timing) {
    this.table = table;
    this.store = store;
    this.outbox = outbox;
    this.storeTimeoutMillis = timing.storeTimeout().toMillis();
  }

  /** Queues a change that is known to be well-formed. */
  void add(EvacuationChange change) {
    if (pending.size() >= MAX_PENDING_CHANGES) {
      outbox.answer(
          change.getExchange(), ResultCode.OVERLOADED, Messages.QUEUE_FULL, storeTimeoutMillis);
      return;
    }
    long limit = STORE_TIMEOUTS_PER_CHANGE * storeTimeoutMillis;
    pending.add(new PendingEvacuation(change, outbox.now() + limit));
  }

  @Override
  public void run(long now) {
    while (!pending.isEmpty() && pending.element().isExpired(now)) {
      expire(pending.remove());
    }
    PendingEvacuation first = pending.peek();
    if (first != null && !callInFlight && now >= nextCallAt) {
      callInFlight = true;
      store.read(TableNames.EVACUATIONS, first.change().getZone(), reply -> onRead(first, reply));
    }
  }

  private void onRead(PendingEvacuation first, StoreReply reply) {
    callInFlight = false;
    if (reply.getStatus() != StoreStatus.STORE_OK) {
      delayNextCall();
      return;
    }
    reply.getRowsList().forEach(table::learn);
    if (first != pending.peek()) {
      return; // Expired while the row was read.
    }
    String zone = first.change().getZone();
    if (reply.getRowsCount() == 0) {
      table.drop(zone);
    }
    long version = reply.getRowsCount() == 0 ? 0 : reply.getRows(0).getVersion();
    if (first.isDecidedBy(version)) {
      first.clearAttempt();
      if (table.isEvacuated(zone) != first.change().getEnd()) {
        succeed(first);
        return;
      }
    }
    write(first, version);
  }

  private void write(PendingEvacuation first, long version) {
    EvacuationRecord record = record(first.change(), table.find(first.change().getZone()));
    RowWrite write =
        RowWrite.newBuilder()
            .setTable(TableNames.EVACUATIONS)
            .setKey(record.getZone())
            .setExpectedVersion(version)
            .setValue(record.toByteString())
            .build();
    callInFlight = true;
    first.attempt(version);
    store.commit(
        Transaction.newBuilder().addWrites(write).build(),
        reply -> onWritten(first, record, reply));
  }

  private void onWritten(PendingEvacuation first, EvacuationRecord record, StoreReply reply) {
    callInFlight = false;
    switch (reply.getStatus()) {
      case STORE_OK -> {
        table.learn(record, reply.getVersion());
        if (first == pending.peek()) {
          succeed(first);
        }
      }
      case STORE_CONFLICT -> {
        // Read again at once: another write was applied, possibly an earlier copy of this one.
      }
      default -> delayNextCall();
    }
  }

  private void succeed(PendingEvacuation first) {
    pending.remove(first);
    CallerAnswer.Builder answer =
        CallerAnswer.newBuilder()
            .setExchange(first.change().getExchange())
            .setCode(ResultCode.DONE.number())
            .setDetail(Messages.done(first.change()));
    outbox.answer(answer);
  }

  private void expire(PendingEvacuation change) {
    long exchange = change.change().getExchange();
    if (change.mayApply()) {
      outbox.answer(exchange, ResultCode.OUTCOME_UNKNOWN, Messages.MAYBE_WRITTEN, 0);
    } else {
      outbox.answer(
          exchange, ResultCode.STORE_UNREACHABLE, Messages.NOT_WRITTEN, storeTimeoutMillis);
    }
  }

  private void delayNextCall() {
    nextCallAt = outbox.now() + RETRY_DELAY_MILLIS;
  }

  /** Returns the record to write; evacuating a zone again keeps who began it and when. */
  private EvacuationRecord record(EvacuationChange change, @Nullable EvacuationRecord current) {
    if (!change.getEnd() && current != null && !current.getEnded()) {
      return current.toBuilder().setFormat(FORMAT).build();
    }
    return EvacuationRecord.newBuilder()
        .setFormat(FORMAT)
        .setZone(change.getZone())
        .setOperator(change.getOperator())
        .setAtMillis(outbox.now())
        .setEnded(change.getEnd())
        .build();
  }
}
