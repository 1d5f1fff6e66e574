package org.hemlockpick.internal.contract;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.function.Consumer;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.ContractRecord;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;

/** Reads the log of contracts from the table service. */
final class ContractLogReader implements LoopSystem {
  /** Most rows of one read. */
  static final int PAGE_ROWS = 64;

  private final ContractLog log;
  private final StoreCalls store;
  private final Outbox outbox;
  private final long pollMillis;
  private final Consumer<ContractRecord> learner;
  private long nextPollAt = Long.MIN_VALUE;
  private boolean pollInFlight;
  private boolean complete;
  private long lastAnswerAt;

  ContractLogReader(
      ContractLog log,
      StoreCalls store,
      Outbox outbox,
      Timing timing,
      Consumer<ContractRecord> learner) {
    this.log = log;
    this.store = store;
    this.outbox = outbox;
    this.pollMillis = timing.configPoll().toMillis();
    this.learner = learner;
    lastAnswerAt = outbox.now();
  }

  /** Tells whether the whole log was read from the table service at least once. */
  boolean isComplete() {
    return complete;
  }

  /** Returns when the table service last answered, or the time of the start, in milliseconds. */
  long lastAnswerAt() {
    return lastAnswerAt;
  }

  @Override
  public void run(long now) {
    if (pollInFlight || now < nextPollAt) {
      return;
    }
    pollInFlight = true;
    nextPollAt = now + pollMillis;
    readNewRecords(ignored -> pollInFlight = false);
  }

  /**
   * Reads all records after the newest known one.
   *
   * @param handler called once: with true when the log is whole, with false when the table service
   *     did not answer or holds a damaged row
   */
  void readNewRecords(Consumer<Boolean> handler) {
    RowScan scan =
        RowScan.newBuilder()
            .setTable(TableNames.CONFIG)
            .setAfter(key(log.version()))
            .setLimit(PAGE_ROWS)
            .build();
    store.scan(scan, reply -> onPage(reply, handler));
  }

  /** Returns the key of the row with a version. */
  static String key(long version) {
    return String.format("%020d", version);
  }

  /** Takes a record that is known to be in the table. */
  void learn(ContractRecord record) {
    learner.accept(record);
  }

  /** Takes the record in a row; a row that holds none makes an event. */
  void learn(Row row) {
    try {
      ContractRecord record = ContractRecord.parseFrom(row.getValue());
      if (row.getKey().equals(key(record.getVersion()))) {
        learner.accept(record);
        return;
      }
      outbox.event("contract-row-damaged", row.getKey(), "the record has another version");
    } catch (InvalidProtocolBufferException e) {
      outbox.event("contract-row-damaged", row.getKey(), e.toString());
    }
  }

  private void onPage(StoreReply reply, Consumer<Boolean> handler) {
    if (reply.getStatus() != StoreStatus.STORE_OK) {
      handler.accept(false);
      return;
    }
    lastAnswerAt = outbox.now();
    reply.getRowsList().forEach(this::learn);
    boolean learnedAll = hasLearnedAll(reply);
    if (learnedAll && reply.getRowsCount() == PAGE_ROWS) {
      readNewRecords(handler);
      return;
    }
    complete |= learnedAll;
    handler.accept(learnedAll);
  }

  /** Tells whether the log reaches the last row of a page. */
  private boolean hasLearnedAll(StoreReply page) {
    int rows = page.getRowsCount();
    return rows == 0 || page.getRows(rows - 1).getKey().compareTo(key(log.version())) <= 0;
  }
}
