package org.hemlockpick.internal.batch;

import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.internal.membership.Peer;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.proto.JobCancel;
import org.hemlockpick.proto.JobPhase;
import org.hemlockpick.proto.JobRecord;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.ShardHint;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.Transaction;

/**
 * Cancels jobs: one write marks the job as cancelled, and the holders of its shards cancel the
 * tasks with their next group commits.
 */
final class JobCancelHandler {
  /** Time after which the outcome of a cancellation is no longer looked up, in milliseconds. */
  private static final long OUTCOME_TIMEOUT_MILLIS = 6_000;

  private final Outbox outbox;
  private final StoreCalls store;
  private final PeerTable peers;
  private final JobTable jobs;
  private final ShardTable shards;
  private final WriteIdGenerator writeIds;
  private final Callers callers;

  JobCancelHandler(
      Outbox outbox,
      StoreCalls store,
      PeerTable peers,
      JobTable jobs,
      ShardTable shards,
      WriteIdGenerator writeIds,
      Callers callers) {
    this.outbox = outbox;
    this.store = store;
    this.peers = peers;
    this.jobs = jobs;
    this.shards = shards;
    this.writeIds = writeIds;
    this.callers = callers;
  }

  void on(JobCancel cancel) {
    long exchange = cancel.getExchange();
    if (callers.authenticate(exchange, cancel.getCustomer(), cancel.getKeyDigest()) == null) {
      return;
    }
    read(cancel, outbox.now() + OUTCOME_TIMEOUT_MILLIS, ResultCode.STORE_UNREACHABLE);
  }

  private void read(JobCancel cancel, long timeoutAt, ResultCode timeoutCode) {
    store.read(
        TableNames.JOBS, cancel.getJob(), reply -> onRead(cancel, timeoutAt, timeoutCode, reply));
  }

  private void onRead(JobCancel cancel, long timeoutAt, ResultCode timeoutCode, StoreReply reply) {
    switch (reply.getStatus()) {
      case STORE_OK -> {
        if (reply.getRowsCount() == 0) {
          callers.answer(cancel.getExchange(), ResultCode.UNKNOWN_JOB);
        } else {
          cancel(cancel, timeoutAt, reply.getRows(0));
        }
      }
      default -> {
        if (outbox.now() < timeoutAt) {
          read(cancel, timeoutAt, timeoutCode);
        } else {
          callers.answer(cancel.getExchange(), timeoutCode);
        }
      }
    }
  }

  private void cancel(JobCancel cancel, long timeoutAt, Row row) {
    JobRecord record = BatchRows.job(row);
    if (!record.getCustomer().equals(cancel.getCustomer())) {
      callers.answer(cancel.getExchange(), ResultCode.UNKNOWN_JOB);
      return;
    }
    if (record.getPhase() == JobPhase.JOB_CANCELLED) {
      answerAndNotify(cancel, record);
      return;
    }
    JobRecord cancelled =
        record.toBuilder().setPhase(JobPhase.JOB_CANCELLED).setWriteId(writeIds.next()).build();
    RowWrite write =
        RowWrite.newBuilder()
            .setTable(TableNames.JOBS)
            .setKey(row.getKey())
            .setExpectedVersion(row.getVersion())
            .setValue(cancelled.toByteString())
            .build();
    store.commit(
        Transaction.newBuilder().addWrites(write).build(),
        reply -> onCommit(cancel, timeoutAt, cancelled, reply));
  }

  private void onCommit(JobCancel cancel, long timeoutAt, JobRecord cancelled, StoreReply reply) {
    switch (reply.getStatus()) {
      case STORE_OK -> answerAndNotify(cancel, cancelled);
      case STORE_CONFLICT -> read(cancel, timeoutAt, ResultCode.STORE_UNREACHABLE);
      default -> read(cancel, timeoutAt, ResultCode.OUTCOME_UNKNOWN);
    }
  }

  private void answerAndNotify(JobCancel cancel, JobRecord record) {
    callers.answer(cancel.getExchange(), JobQueryHandler.cancelled(record));
    outbox.event("job-cancelled", record.getJob(), record.getCustomer());
    for (Peer peer : peers.alive(outbox.now())) {
      if (peer.zone().equals(record.getZone())) {
        ShardHint.Builder hint = ShardHint.newBuilder().setJob(record.getJob());
        outbox.send(peer.name(), PeerMessage.newBuilder().setShardHint(hint));
      }
    }
    Job job = jobs.find(record.getJob());
    if (job != null) {
      jobs.put(record);
      shards.jobChanged(job);
    }
  }
}
