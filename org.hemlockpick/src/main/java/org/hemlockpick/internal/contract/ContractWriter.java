package org.hemlockpick.internal.contract;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.hemlockpick.errors.ContractMessages;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.ContractApply;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Writes operators' changes to the table service, one after another.
 *
 * <p>A change is inserted as the row after the newest one, which must be absent, so that of two
 * concurrent changes one fails, learns of the other and is checked again. An insert whose reply was
 * lost is resent with the same write id: it either applies, or the row already present shows whose
 * it is.
 */
final class ContractWriter implements LoopSystem {
  /** Maximum length of the text of a contract, in characters. */
  static final int MAX_TEXT_CHARS = 32 * 1024;

  /** Maximum length of the name of an operator, in characters. */
  static final int MAX_OPERATOR_CHARS = 128;

  /** Maximum number of pending changes at one entry instance. */
  static final int MAX_PENDING_CHANGES = 16;

  /** Time limit of a change, as a multiple of the time limit of a store call. */
  private static final int STORE_TIMEOUTS_PER_CHANGE = 4;

  /** Delay after a store call without a reply, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 200;

  /** Maximum number of changes with an unknown outcome whose write ids are kept. */
  private static final int MAX_UNRESOLVED = 64;

  private final Deque<PendingChange> changes = new ArrayDeque<>();
  private final Set<String> unresolvedWriteIds = new LinkedHashSet<>();
  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final ContractLog log;
  private final ContractLogReader reader;
  private boolean callInFlight;
  private long nextCallAt = Long.MIN_VALUE;
  private long lastWriteNumber;

  ContractWriter(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      ContractLog log,
      ContractLogReader reader) {
    this.settings = settings;
    this.outbox = outbox;
    this.store = store;
    this.log = log;
    this.reader = reader;
  }

  /** Queues a change whose text has no faults. */
  void add(ContractApply apply) {
    if (changes.size() >= MAX_PENDING_CHANGES) {
      long retryAfter = settings.timing().storeTimeout().toMillis();
      outbox.answer(
          apply.getExchange(), ResultCode.OVERLOADED, ContractMessages.QUEUE_FULL, retryAfter);
      return;
    }
    String writeId = settings.name() + "-" + outbox.incarnation() + "-" + ++lastWriteNumber;
    long limit = STORE_TIMEOUTS_PER_CHANGE * settings.timing().storeTimeout().toMillis();
    changes.add(new PendingChange(apply, writeId, outbox.now() + limit));
  }

  /** Handles a record that took effect, which may be a change whose reply was lost. */
  void onLearned(ContractRecord record) {
    PendingChange first = changes.peek();
    if (first != null && first.writeId().equals(record.getWriteId())) {
      changes.remove();
      succeed(first, record);
    } else if (unresolvedWriteIds.remove(record.getWriteId())) {
      String detail = "revision " + record.getVersion() + ", write " + record.getWriteId();
      outbox.event("contract-change-resolved", record.getCustomer(), detail);
    }
  }

  @Override
  public void run(long now) {
    while (!changes.isEmpty() && changes.element().isExpired(now)) {
      expire(changes.remove());
    }
    PendingChange first = changes.peek();
    if (first == null || callInFlight || now < nextCallAt) {
      return;
    }
    if (mayStillApply(first)) {
      insert(first);
    } else {
      readThenInsert(first);
    }
  }

  private void readThenInsert(PendingChange change) {
    callInFlight = true;
    reader.readNewRecords(
        complete -> {
          callInFlight = false;
          if (!complete) {
            delayNextCall();
          } else if (change == changes.peek()) {
            checkThenInsert(change);
          }
        });
  }

  private void checkThenInsert(PendingChange change) {
    ContractApply apply = change.apply();
    ContractRecord newest = log.newest(apply.getCustomer());
    long revision = newest == null ? 0 : newest.getVersion();
    if (apply.getBaseRevision() != revision) {
      refuse(change, ResultCode.CONTRACT_CONFLICT, conflict(apply.getCustomer(), newest));
    } else if (apply.getText().isEmpty() && (newest == null || newest.getText().isEmpty())) {
      refuse(change, ResultCode.CONTRACT_INVALID, ContractMessages.NOTHING_TO_WITHDRAW);
    } else {
      change.setAttemptedVersion(log.version() + 1);
      insert(change);
    }
  }

  private void insert(PendingChange change) {
    callInFlight = true;
    ContractRecord record = record(change);
    store.commit(insertion(record), reply -> onInserted(record, reply));
  }

  private void onInserted(ContractRecord record, StoreReply reply) {
    callInFlight = false;
    switch (reply.getStatus()) {
      case STORE_OK -> reader.learn(record);
      case STORE_CONFLICT -> reply.getRowsList().forEach(reader::learn);
      default -> {
        // The insert is resent unless the log shows its result first.
      }
    }
    if (log.version() < record.getVersion()) {
      delayNextCall();
    }
  }

  private void succeed(PendingChange change, ContractRecord record) {
    outbox.answer(
        CallerAnswer.newBuilder()
            .setExchange(change.apply().getExchange())
            .setCode(ResultCode.DONE.number())
            .setRevision(record.getVersion()));
  }

  private void refuse(PendingChange change, ResultCode code, String detail) {
    changes.remove(change);
    outbox.answer(change.apply().getExchange(), code, detail, 0);
  }

  private void expire(PendingChange change) {
    if (!mayStillApply(change)) {
      refuse(change, ResultCode.STORE_UNREACHABLE, ContractMessages.NOT_WRITTEN);
      return;
    }
    unresolvedWriteIds.add(change.writeId());
    if (unresolvedWriteIds.size() > MAX_UNRESOLVED) {
      unresolvedWriteIds.remove(unresolvedWriteIds.iterator().next());
    }
    refuse(change, ResultCode.OUTCOME_UNKNOWN, ContractMessages.MAYBE_WRITTEN);
  }

  /** Returns whether an insert was sent and may still apply: its row is not known yet. */
  private boolean mayStillApply(PendingChange change) {
    return change.attemptedVersion() > log.version();
  }

  private void delayNextCall() {
    nextCallAt = outbox.now() + RETRY_DELAY_MILLIS;
  }

  private static ContractRecord record(PendingChange change) {
    ContractApply apply = change.apply();
    return ContractRecord.newBuilder()
        .setVersion(change.attemptedVersion())
        .setCustomer(apply.getCustomer())
        .setText(apply.getText())
        .setOperator(apply.getOperator())
        .setWriteId(change.writeId())
        .build();
  }

  private static Transaction insertion(ContractRecord record) {
    RowWrite write =
        RowWrite.newBuilder()
            .setTable(TableNames.CONFIG)
            .setKey(ContractLogReader.key(record.getVersion()))
            .setValue(record.toByteString())
            .build();
    return Transaction.newBuilder().addWrites(write).build();
  }

  private static String conflict(String customer, @Nullable ContractRecord newest) {
    return newest == null
        ? ContractMessages.conflict(customer, 0, "")
        : ContractMessages.conflict(customer, newest.getVersion(), newest.getOperator());
  }
}
