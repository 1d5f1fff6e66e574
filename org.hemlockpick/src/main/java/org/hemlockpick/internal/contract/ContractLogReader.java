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

/** Reads the contract log from the table service. */
final class ContractLogReader implements LoopSystem {
  /** Maximum number of rows per read. */
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

  /** Returns whether the whole log was read from the table service at least once. */
  boolean isComplete() {
    return complete;
  }

  /** Returns the time of the table service's last reply, or of the start, in milliseconds. */
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
   * @param handler called once: with true when the log is complete, with false when the table
   *     service did not reply or holds a damaged row
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

  /** Returns the row key of a version. */
  static String key(long version) {
    return String.format("%020d", version);
  }

  /** Takes a record that is known to be in the table. */
  void learn(ContractRecord record) {
    learner.accept(record);
  }

  /** Takes the record in a row; a damaged row is reported as an event. */
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

  /** Returns whether the log includes the last row of a page. */
  private boolean hasLearnedAll(StoreReply page) {
    int rows = page.getRowsCount();
    return rows == 0 || page.getRows(rows - 1).getKey().compareTo(key(log.version())) <= 0;
  }
}
