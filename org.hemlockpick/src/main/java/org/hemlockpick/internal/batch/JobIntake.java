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

/** Takes submissions: checks them, writes their rows and hands their shards out. */
final class JobIntake implements LoopSystem {
  private final InstanceSettings settings;
  private final Outbox outbox;
  private final StoreCalls store;
  private final BlobCalls blobs;
  private final WorkerTable workers;
  private final JobTable jobs;
  private final ShardTable shards;
  private final ShardClaims claims;
  private final WriteIds writeIds;
  private final Callers callers;
  private final Set<Submission> open = new LinkedHashSet<>();
  private long lastJob;

  JobIntake(
      InstanceSettings settings,
      Outbox outbox,
      StoreCalls store,
      BlobCalls blobs,
      WorkerTable workers,
      JobTable jobs,
      ShardTable shards,
      ShardClaims claims,
      WriteIds writeIds,
      Callers callers) {
    this.settings = settings;
    this.outbox = outbox;
    this.store = store;
    this.blobs = blobs;
    this.workers = workers;
    this.jobs = jobs;
    this.shards = shards;
    this.claims = claims;
    this.writeIds = writeIds;
    this.callers = callers;
  }

  boolean isIdle() {
    return open.isEmpty();
  }

  void on(JobSubmit submit) {
    long exchange = submit.getExchange();
    Contract contract = callers.authenticate(exchange, submit.getCustomer(), submit.getKeyDigest());
    if (contract == null || isRefused(submit, contract.batch())) {
      return;
    }
    if (!store.isReachable()) {
      callers.answer(exchange, ResultCode.STORE_UNREACHABLE);
      return;
    }
    JobRecord record = record(submit, contract.batch());
    Submission submission = new Submission(exchange, record, shardRecords(record), store, outbox);
    open.add(submission);
    submission.whenOver(this::onOver);
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
            submission.end(ResultCode.STORE_UNREACHABLE);
          }
        });
  }

  @Override
  public void run(long now) {
    List.copyOf(open).forEach(submission -> submission.run(now));
  }

  private boolean isRefused(JobSubmit submit, BatchTerms terms) {
    JobSpec spec = submit.getSpec();
    String fault = fault(spec);
    if (fault != null) {
      callers.answer(submit.getExchange(), ResultCode.BAD_REQUEST, fault);
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
    String misfit = Assigner.misfit(workers, Amounts.of(spec));
    if (misfit != null) {
      callers.answer(submit.getExchange(), ResultCode.JOB_NEVER_FITS, misfit);
      return true;
    }
    return false;
  }

  private static @Nullable String fault(JobSpec spec) {
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
        .setShards((spec.getTaskCount() - 1) / Rows.SHARD_TASKS + 1)
        .setSubmissionKey(submit.getSubmissionKey())
        .setWriteId(writeIds.next())
        .setPayload(payloadKey(spec.getPayload()))
        .build();
  }

  /** Derives the id from the submission key, so that a repeated submission meets the first. */
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

  /** Derives the key from the content, so that no other payload ever replaces it. */
  private static String payloadKey(ByteString payload) {
    if (payload.isEmpty()) {
      return "";
    }
    return "payloads/" + Hashing.sha256().hashBytes(payload.asReadOnlyByteBuffer());
  }

  private List<ShardRecord> shardRecords(JobRecord job) {
    List<Holder> holders = claims.holdersOfNewShards(outbox.now());
    int offset = Math.floorMod(job.getJob().hashCode(), holders.size());
    List<ShardRecord> records = new ArrayList<>();
    for (int number = 0; number < job.getShards(); number++) {
      Holder holder = holders.get((offset + number) % holders.size());
      ShardRecord.Builder record =
          ShardRecord.newBuilder()
              .setJob(job.getJob())
              .setShard(number)
              .setHolder(holder.name())
              .setHolderIncarnation(holder.incarnation())
              .setWriteId(job.getWriteId());
      int first = number * Rows.SHARD_TASKS;
      int end = Math.min(first + Rows.SHARD_TASKS, job.getSpec().getTaskCount());
      for (int index = first; index < end; index++) {
        record.addTasks(TaskChanges.queued(index));
      }
      records.add(record.build());
    }
    return records;
  }

  private void onOver(Submission submission, ResultCode code, String detail) {
    open.remove(submission);
    JobRecord record = submission.record();
    if (code != ResultCode.DONE) {
      callers.answer(submission.exchange(), code, detail);
      return;
    }
    callers.answer(submission.exchange(), JobViews.open(record));
    outbox.event("job-submitted", record.getJob(), record.getCustomer());
    if (submission.isNew()) {
      handOut(submission);
    }
  }

  private void handOut(Submission submission) {
    jobs.put(submission.record());
    for (ShardRecord shard : submission.shards()) {
      if (shard.getHolder().equals(settings.name())) {
        String key = Rows.shardKey(settings.zone(), shard.getJob(), shard.getShard());
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
