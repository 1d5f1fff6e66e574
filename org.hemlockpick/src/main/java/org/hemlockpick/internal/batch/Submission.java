package org.hemlockpick.internal.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.proto.JobRecord;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.ShardRecord;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Writes the rows of one submitted job.
 *
 * <p>The job exists as soon as its own row exists. A large job takes several transactions, the one
 * with the job's row last: shards without it are ignored and eventually deleted. That last
 * transaction also rewrites shard 0 and expects the version that this submission wrote, so it fails
 * when the shards were deleted or another submission under the same key has begun in the meantime.
 */
final class Submission {
  /** Maximum number of shards written by one transaction. */
  static final int MAX_SHARDS_PER_STEP = 64;

  /** Time after which the outcome of a transaction is no longer looked up, in milliseconds. */
  private static final long OUTCOME_TIMEOUT_MILLIS = 6_000;

  /** Delay before a transaction without an answer is sent again, in milliseconds. */
  private static final long RETRY_MILLIS = 300;

  /** Receives the result of a submission. */
  interface CompletionHandler {
    void completed(Submission submission, ResultCode code, String detail);
  }

  private final long exchange;
  private final JobRecord record;
  private final List<ShardRecord> shards;
  private final StoreCalls store;
  private final Outbox outbox;
  private final long timeoutAt;
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, Long> written = new HashMap<>();
  private CompletionHandler handler = (submission, code, detail) -> {};
  private int step;
  private @Nullable Transaction unanswered;
  private long retryAt = Long.MAX_VALUE;
  private boolean isNew = true;
  private long sentAt;

  Submission(
      long exchange, JobRecord record, List<ShardRecord> shards, StoreCalls store, Outbox outbox) {
    this.exchange = exchange;
    this.record = record;
    this.shards = shards;
    this.store = store;
    this.outbox = outbox;
    timeoutAt = outbox.now() + OUTCOME_TIMEOUT_MILLIS;
  }

  long exchange() {
    return exchange;
  }

  JobRecord record() {
    return record;
  }

  List<ShardRecord> shards() {
    return shards;
  }

  /** Returns the row of a shard as it was written; empty when its version is unknown. */
  Optional<Row> row(ShardRecord shard) {
    Long version = written.get(key(shard));
    if (version == null) {
      return Optional.empty();
    }
    return Optional.of(
        Row.newBuilder()
            .setTable(TableNames.SHARDS)
            .setKey(key(shard))
            .setVersion(version)
            .setValue(shard.toByteString())
            .build());
  }

  /** Returns when the last transaction was sent, in milliseconds. */
  long sentAt() {
    return sentAt;
  }

  /** Returns whether this submission wrote the job; false when an earlier one did. */
  boolean isNew() {
    return isNew;
  }

  void setHandler(CompletionHandler handler) {
    this.handler = handler;
  }

  void begin() {
    step = 0;
    commit();
  }

  void complete(ResultCode code) {
    handler.completed(this, code, code.text());
  }

  /** Sends a transaction without an answer again, unchanged, or times out. */
  void run(long now) {
    Transaction transaction = unanswered;
    if (transaction == null || now < retryAt) {
      return;
    }
    if (now >= timeoutAt) {
      unanswered = null;
      complete(ResultCode.OUTCOME_UNKNOWN);
      return;
    }
    send(transaction);
  }

  private int steps() {
    return shards.size() <= MAX_SHARDS_PER_STEP ? 1 : (shards.size() - 1) / MAX_SHARDS_PER_STEP + 2;
  }

  private boolean isLastStep() {
    return step == steps() - 1;
  }

  private void commit() {
    Transaction.Builder transaction = Transaction.newBuilder();
    if (isLastStep()) {
      RowWrite.Builder job =
          RowWrite.newBuilder()
              .setTable(TableNames.JOBS)
              .setKey(record.getJob())
              .setValue(record.toByteString());
      transaction.addWrites(job);
    }
    stepShards().forEach(shard -> transaction.addWrites(write(shard)));
    send(transaction.build());
  }

  private List<ShardRecord> stepShards() {
    if (isLastStep() && step > 0) {
      return shards.subList(0, 1);
    }
    int first = step * MAX_SHARDS_PER_STEP;
    return shards.subList(first, Math.min(first + MAX_SHARDS_PER_STEP, shards.size()));
  }

  private RowWrite.Builder write(ShardRecord shard) {
    String key = key(shard);
    return RowWrite.newBuilder()
        .setTable(TableNames.SHARDS)
        .setKey(key)
        .setExpectedVersion(versions.getOrDefault(key, 0L))
        .setValue(shard.toByteString());
  }

  private String key(ShardRecord shard) {
    return BatchRows.shardKey(record.getZone(), shard.getJob(), shard.getShard());
  }

  private void send(Transaction transaction) {
    unanswered = transaction;
    sentAt = outbox.now();
    retryAt = Long.MAX_VALUE;
    store.commit(transaction, this::onReply);
  }

  private void onReply(StoreReply reply) {
    switch (reply.getStatus()) {
      case STORE_OK -> {
        unanswered = null;
        stepShards().forEach(shard -> recordWritten(key(shard), reply.getVersion()));
        next();
      }
      case STORE_CONFLICT -> {
        unanswered = null;
        onConflict(reply.getRowsList());
      }
      default -> retryAt = outbox.now() + RETRY_MILLIS;
    }
  }

  private void next() {
    if (isLastStep()) {
      complete(ResultCode.DONE);
      return;
    }
    step++;
    commit();
  }

  private void onConflict(List<Row> rows) {
    int own = 0;
    JobRecord existing = null;
    for (Row row : rows) {
      if (row.getTable().equals(TableNames.SHARDS)) {
        versions.put(row.getKey(), row.getVersion());
        if (isOwn(row)) {
          recordWritten(row.getKey(), row.getVersion());
          own++;
        }
      } else if (row.getVersion() != 0) {
        existing = BatchRows.job(row);
      }
    }
    if (existing != null) {
      completeWithExisting(existing);
      return;
    }
    if (!isLastStep() && own == stepShards().size()) {
      next();
    } else {
      restart();
    }
  }

  private void recordWritten(String key, long version) {
    versions.put(key, version);
    written.put(key, version);
  }

  private boolean isOwn(Row row) {
    return row.getVersion() != 0 && BatchRows.shard(row).getWriteId().equals(record.getWriteId());
  }

  /** Starts over with shard 0, unless another submission under the same key is complete. */
  private void restart() {
    if (outbox.now() >= timeoutAt) {
      complete(ResultCode.OUTCOME_UNKNOWN);
      return;
    }
    store.read(TableNames.JOBS, record.getJob(), this::onJobRead);
  }

  private void onJobRead(StoreReply reply) {
    switch (reply.getStatus()) {
      case STORE_OK -> {
        if (reply.getRowsCount() > 0) {
          completeWithExisting(BatchRows.job(reply.getRows(0)));
        } else {
          begin();
        }
      }
      default -> restart();
    }
  }

  private void completeWithExisting(JobRecord existing) {
    isNew = existing.getWriteId().equals(record.getWriteId());
    boolean same =
        existing.getCustomer().equals(record.getCustomer())
            && existing.getSpec().equals(record.getSpec())
            && existing.getPayload().equals(record.getPayload());
    if (isNew || same) {
      complete(ResultCode.DONE);
    } else {
      handler.completed(this, ResultCode.BAD_REQUEST, Messages.OTHER_SPEC);
    }
  }
}
