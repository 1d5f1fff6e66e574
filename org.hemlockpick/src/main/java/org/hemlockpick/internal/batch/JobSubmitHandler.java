package org.hemlockpick.internal.batch;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hemlockpick.contract.BatchTerms;
import org.hemlockpick.contract.Contract;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.loop.BlobCalls;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.ownership.WorkerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.proto.JobPhase;
import org.hemlockpick.proto.JobRecord;
import org.hemlockpick.proto.JobSpec;
import org.hemlockpick.proto.JobSubmit;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.ShardHint;
import org.hemlockpick.proto.ShardRecord;
import org.jspecify.annotations.Nullable;

/** Handles submissions: validates them, writes their rows and distributes their shards. */
final class JobSubmitHandler implements LoopSystem {
  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final BlobCalls blobs;
  private final WorkerTable workers;
  private final JobTable jobs;
  private final ShardTable shards;
  private final ShardTakeover takeover;
  private final WriteIdGenerator writeIds;
  private final Callers callers;
  private final Set<Submission> open = new LinkedHashSet<>();
  private long lastJob;

  JobSubmitHandler(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      BlobCalls blobs,
      WorkerTable workers,
      JobTable jobs,
      ShardTable shards,
      ShardTakeover takeover,
      WriteIdGenerator writeIds,
      Callers callers) {
    this.settings = settings;
    this.outbox = outbox;
    this.store = store;
    this.blobs = blobs;
    this.workers = workers;
    this.jobs = jobs;
    this.shards = shards;
    this.takeover = takeover;
    this.writeIds = writeIds;
    this.callers = callers;
  }

  boolean isIdle() {
    return open.isEmpty();
  }

  void on(JobSubmit submit) {
    long exchange = submit.getExchange();
    Contract contract = callers.authenticate(exchange, submit.getCustomer(), submit.getKeyDigest());
    if (contract == null || refuseIfInvalid(submit, contract.batch())) {
      return;
    }
    if (!store.isReachable()) {
      callers.answer(exchange, ResultCode.STORE_UNREACHABLE);
      return;
    }
    JobRecord record = record(submit, contract.batch());
    Submission submission = new Submission(exchange, record, shardRecords(record), store, outbox);
    open.add(submission);
    submission.setHandler(this::onCompletion);
    ByteString payload = submit.getSpec().getPayload();
    if (payload.isEmpty()) {
      submission.begin();
      return;
    }
    blobs.put(
        record.getPayload(),
        payload,
        reply -> {
          if (reply.getOk()) {
            submission.begin();
          } else {
            submission.complete(ResultCode.STORE_UNREACHABLE);
          }
        });
  }

  @Override
  public void run(long now) {
    List.copyOf(open).forEach(submission -> submission.run(now));
  }

  private boolean refuseIfInvalid(JobSubmit submit, BatchTerms terms) {
    JobSpec spec = submit.getSpec();
    String invalid = invalidReason(spec);
    if (invalid != null) {
      callers.answer(submit.getExchange(), ResultCode.BAD_REQUEST, invalid);
      return true;
    }
    if (spec.getTaskCount() > terms.jobTasks()) {
      String detail = Messages.tooManyTasks(terms.jobTasks());
      callers.answer(submit.getExchange(), ResultCode.OVER_LIMIT, detail);
      return true;
    }
    if (spec.getUrgent() && !terms.urgent()) {
      callers.answer(submit.getExchange(), ResultCode.BAD_REQUEST, Messages.NOT_URGENT);
      return true;
    }
    String unplaceable = TaskAssigner.unplaceableReason(workers, ResourceAmounts.of(spec));
    if (unplaceable != null) {
      callers.answer(submit.getExchange(), ResultCode.JOB_NEVER_FITS, unplaceable);
      return true;
    }
    return false;
  }

  private static @Nullable String invalidReason(JobSpec spec) {
    if (spec.getTaskCount() == 0) {
      return Messages.NO_TASKS;
    }
    if (spec.getKind().isEmpty()) {
      return Messages.NO_KIND;
    }
    if (spec.getCpuMillis() == 0) {
      return Messages.NO_CPU;
    }
    boolean negative =
        spec.getTaskCount() < 0
            || spec.getCpuMillis() < 0
            || spec.getMemoryMb() < 0
            || spec.getAccelerators() < 0
            || spec.getDeclaredRunMillis() < 0
            || spec.getDeadlineInMillis() < 0;
    return negative ? Messages.NEGATIVE : null;
  }

  private JobRecord record(JobSubmit submit, BatchTerms terms) {
    JobSpec spec = submit.getSpec();
    long now = outbox.now();
    long deadline =
        spec.getDeadlineInMillis() > 0 ? spec.getDeadlineInMillis() : terms.deadline().toMillis();
    return JobRecord.newBuilder()
        .setJob(jobId(submit))
        .setCustomer(submit.getCustomer())
        .setZone(settings.zone())
        .setSpec(spec.toBuilder().clearPayload())
        .setSubmittedAtMillis(now)
        .setDeadlineAtMillis(now + deadline)
        .setPhase(JobPhase.JOB_OPEN)
        .setShards((spec.getTaskCount() - 1) / BatchRows.SHARD_TASKS + 1)
        .setSubmissionKey(submit.getSubmissionKey())
        .setWriteId(writeIds.next())
        .setPayload(payloadKey(spec.getPayload()))
        .build();
  }

  /** Derives the id from the submission key, so that a repeated submission finds the first one. */
  private String jobId(JobSubmit submit) {
    if (submit.getSubmissionKey().isEmpty()) {
      return settings.name() + "-" + outbox.incarnation() + "-" + ++lastJob;
    }
    return Hashing.sha256()
        .newHasher()
        .putInt(submit.getCustomer().length())
        .putString(submit.getCustomer(), StandardCharsets.UTF_8)
        .putString(submit.getSubmissionKey(), StandardCharsets.UTF_8)
        .hash()
        .toString();
  }

  /** Derives the key from the content, so that no other payload can overwrite it. */
  private static String payloadKey(ByteString payload) {
    if (payload.isEmpty()) {
      return "";
    }
    return "payloads/" + Hashing.sha256().hashBytes(payload.asReadOnlyByteBuffer());
  }

  private List<ShardRecord> shardRecords(JobRecord job) {
    List<ShardHolder> holders = takeover.holdersOfNewShards(outbox.now());
    int offset = Math.floorMod(job.getJob().hashCode(), holders.size());
    List<ShardRecord> records = new ArrayList<>();
    for (int number = 0; number < job.getShards(); number++) {
      ShardHolder holder = holders.get((offset + number) % holders.size());
      ShardRecord.Builder record =
          ShardRecord.newBuilder()
              .setJob(job.getJob())
              .setShard(number)
              .setHolder(holder.name())
              .setHolderIncarnation(holder.incarnation())
              .setWriteId(job.getWriteId());
      int first = number * BatchRows.SHARD_TASKS;
      int end = Math.min(first + BatchRows.SHARD_TASKS, job.getSpec().getTaskCount());
      for (int index = first; index < end; index++) {
        record.addTasks(TaskTransitions.queued(index));
      }
      records.add(record.build());
    }
    return records;
  }

  private void onCompletion(Submission submission, ResultCode code, String detail) {
    open.remove(submission);
    JobRecord record = submission.record();
    if (code != ResultCode.DONE) {
      callers.answer(submission.exchange(), code, detail);
      return;
    }
    callers.answer(submission.exchange(), JobQueryHandler.open(record));
    outbox.event("job-submitted", record.getJob(), record.getCustomer());
    if (submission.isNew()) {
      distributeShards(submission);
    }
  }

  private void distributeShards(Submission submission) {
    jobs.put(submission.record());
    for (ShardRecord shard : submission.shards()) {
      if (shard.getHolder().equals(settings.name())) {
        String key = BatchRows.shardKey(settings.zone(), shard.getJob(), shard.getShard());
        submission
            .row(shard)
            .ifPresentOrElse(row -> shards.load(row, submission.sentAt()), () -> shards.read(key));
      } else {
        ShardHint.Builder hint =
            ShardHint.newBuilder().setJob(shard.getJob()).setShard(shard.getShard());
        outbox.send(shard.getHolder(), PeerMessage.newBuilder().setShardHint(hint));
      }
    }
    Job job = jobs.find(submission.record().getJob());
    if (job != null) {
      jobs.release(job);
    }
  }
}
