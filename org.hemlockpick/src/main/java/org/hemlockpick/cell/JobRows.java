package org.hemlockpick.cell;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.hemlockpick.cell.Transaction.RowName;
import org.hemlockpick.cell.rows.ProgressRows;
import org.hemlockpick.proto.JobStateRecord;
import org.hemlockpick.proto.ProgressRecord;
import org.hemlockpick.proto.StepProgress;
import org.hemlockpick.proto.StepRecord;
import org.hemlockpick.proto.SubmissionRecord;
import org.hemlockpick.proto.TaskNote;
import org.hemlockpick.proto.TermsRecord;

/**
 * Names and converts the rows of jobs in the table service. The rows written by callers are spread
 * over several parts, as a part executes one transaction after the other; the rows written by the
 * holder are in the part of its lease.
 */
final class JobRows {
  /** Table of the rows written by callers. */
  static final String TABLE = "jobs";

  /** Number of parts over which the jobs of a cell are spread. */
  static final int PARTS = 8;

  /** Version of the row format; rows of another version count as unreadable. */
  static final int FORMAT = 1;

  /**
   * Format of the rows of submissions that earlier versions must not read, as they cannot read the
   * job's progress.
   */
  private static final int HIDDEN_FORMAT = 2;

  private static final String SUBMISSION = "/s";
  private static final String CANCELLATION = "/c";
  private static final String RANGE_END = "/~";

  private JobRows() {}

  /** Kind of a row of a job. */
  enum Kind {
    SUBMISSION,
    CANCELLATION
  }

  /** Returns the part of the rows that callers write for a job. */
  static String part(String cell, String job) {
    return part(cell, Math.floorMod(job.hashCode(), PARTS));
  }

  /** Returns the part with a number from 0 to {@link #PARTS}, exclusive. */
  static String part(String cell, int number) {
    return cell + "." + number;
  }

  static RowName submission(String job) {
    return new RowName(TABLE, job + SUBMISSION);
  }

  static RowName progress(String job) {
    return ProgressRows.row(job);
  }

  static RowName cancellation(String job) {
    return new RowName(TABLE, job + CANCELLATION);
  }

  /** Returns the range of the rows that callers wrote for a job. */
  static TableService.Range range(String cell, String job) {
    return new TableService.Range(TABLE, part(cell, job), job + "/", job + RANGE_END);
  }

  /** Returns the range of the row that the holder wrote for a job. */
  static TableService.Range progressRange(String cell, String job) {
    return new TableService.Range(ProgressRows.TABLE, cell, job, job + "/");
  }

  /** Returns the job that a key belongs to; empty for a key of another form. */
  static Optional<String> job(String key) {
    int slash = key.lastIndexOf('/');
    return slash <= 0 ? Optional.empty() : Optional.of(key.substring(0, slash));
  }

  /** Returns the kind of the row with a key; empty for a key of another form. */
  static Optional<Kind> kind(String key) {
    if (key.endsWith(SUBMISSION)) {
      return Optional.of(Kind.SUBMISSION);
    }
    return key.endsWith(CANCELLATION) ? Optional.of(Kind.CANCELLATION) : Optional.empty();
  }

  static ByteString encode(Submission job) {
    return encode(job, FORMAT);
  }

  /** Encodes a submission so that earlier versions pass over the job. */
  static ByteString encodeHidden(Submission job) {
    return encode(job, HIDDEN_FORMAT);
  }

  private static ByteString encode(Submission job, int format) {
    SubmissionRecord.Builder record =
        SubmissionRecord.newBuilder()
            .setFormat(format)
            .setQueue(job.queue())
            .setSpec(job.spec())
            .setFirstStartAtMillis(job.firstStartAtMillis())
            .setIntervalMillis(job.intervalMillis())
            .setRepeatCount(job.repeatCount())
            .setAcceptedAtMillis(job.acceptedAtMillis());
    Queue terms = job.terms();
    if (terms != null) {
      record.setTerms(encode(terms));
    }
    job.steps().forEach(step -> record.addSteps(encode(step)));
    return record.build().toByteString();
  }

  /** Returns the submission; empty if the bytes cannot be read. */
  static Optional<Submission> submission(String job, ByteString value) {
    try {
      SubmissionRecord record = SubmissionRecord.parseFrom(value);
      if (record.getFormat() != FORMAT && record.getFormat() != HIDDEN_FORMAT) {
        return Optional.empty();
      }
      return Optional.of(
          new Submission(
              job,
              record.getQueue(),
              record.getSpec(),
              record.getStepsList().stream().map(JobRows::step).toList(),
              record.getFirstStartAtMillis(),
              record.getIntervalMillis(),
              record.getRepeatCount(),
              record.getAcceptedAtMillis(),
              record.hasTerms() ? queue(record.getQueue(), record.getTerms()) : null));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns whether earlier versions pass over the job of a row that can be read. */
  static boolean isHidden(ByteString value) {
    try {
      return SubmissionRecord.parseFrom(value).getFormat() == HIDDEN_FORMAT;
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  /** Returns the progress in the row of a job; empty if the bytes cannot be read. */
  static Optional<ProgressRecord> progress(ByteString value) {
    return ProgressRows.parse("", value);
  }

  /** Encodes the progress of a job for a single row. */
  static ByteString encode(Job job) {
    return progress(job).toByteString();
  }

  /** Returns the progress of a job as a single row would hold it. */
  static ProgressRecord progress(Job job) {
    ProgressRecord.Builder record =
        ProgressRecord.newBuilder()
            .setFormat(FORMAT)
            .setState(record(job.state()))
            .setEndedAtMillis(job.endedAtMillis());
    if (job.state().isFinal()) {
      record.setQueue(job.submission().queue());
      Queue terms = job.submission().terms();
      if (terms != null) {
        record.setHost(terms.host()).setPathPrefix(terms.pathPrefix());
      }
    } else {
      job.stepRuns().stream()
          .filter(StepRun::hasProgress)
          .forEach(run -> record.addSteps(encode(run)));
    }
    return record.build();
  }

  static JobState state(JobStateRecord record) {
    return switch (record) {
      case JOB_RUNNING -> JobState.RUNNING;
      case JOB_COMPLETED -> JobState.COMPLETED;
      case JOB_FAILED -> JobState.FAILED;
      case JOB_CANCELED -> JobState.CANCELED;
      default -> JobState.QUEUED;
    };
  }

  private static JobStateRecord record(JobState state) {
    return switch (state) {
      case QUEUED -> JobStateRecord.JOB_QUEUED;
      case RUNNING -> JobStateRecord.JOB_RUNNING;
      case COMPLETED -> JobStateRecord.JOB_COMPLETED;
      case FAILED -> JobStateRecord.JOB_FAILED;
      case CANCELED -> JobStateRecord.JOB_CANCELED;
    };
  }

  private static StepProgress encode(StepRun run) {
    BitSet done = new BitSet(run.tasks().size());
    StepProgress.Builder progress =
        StepProgress.newBuilder().setOccurrence(run.occurrence()).setStep(run.number());
    for (Task task : run.tasks()) {
      done.set(task.index(), task.isDone());
      if (task.needsNote()) {
        TaskNote.Builder note =
            TaskNote.newBuilder()
                .setIndex(task.index())
                .setFailures(task.failures())
                .setFailedAttempt(task.failedAttempts().newest())
                .addAllOlderFailedAttempts(task.failedAttempts().olderDistances())
                .setCheckpoint(task.checkpoint())
                .setCheckpointAttempt(task.checkpointAttempt())
                .setPlace(task.placement());
        CrashNotes.encode(task.crashes(), note);
        progress.addNotes(note);
      }
    }
    return progress
        .setDone(ByteString.copyFrom(done.toByteArray()))
        .setDoubted(ByteString.copyFrom(CrashNotes.doubted(run).toByteArray()))
        .build();
  }

  private static TermsRecord encode(Queue queue) {
    return TermsRecord.newBuilder()
        .setHost(queue.host())
        .setPathPrefix(queue.pathPrefix())
        .setService(queue.service())
        .setPriority(queue.priority())
        .setMaxAttempts(queue.maxAttempts())
        .setSlackFactor(queue.slackFactor())
        .setLatencyTargetMillis(queue.latencyTargetMillis())
        .setAdvised(queue.advised())
        .build();
  }

  private static Queue queue(String name, TermsRecord terms) {
    return new Queue(
        name,
        terms.getHost(),
        terms.getPathPrefix(),
        terms.getService(),
        terms.getPriority(),
        terms.getMaxAttempts(),
        terms.getSlackFactor(),
        terms.getLatencyTargetMillis(),
        terms.getAdvised());
  }

  private static StepRecord encode(Step step) {
    StepRecord.Builder record =
        StepRecord.newBuilder()
            .setCount(step.count())
            .setCpuMillis((int) step.demand().cpuMillis())
            .setMemoryMb((int) step.demand().memoryMb())
            .setGpus((int) step.demand().gpus())
            .setEstimateMillis(step.estimateMillis())
            .addAllDependsOn(step.dependsOn())
            .setCheckpoints(step.checkpoints())
            .setGang(step.gang())
            .setRackLocal(step.rackLocal())
            .setMaxPerWorker(step.maxPerWorker())
            .setSpeculative(step.speculative())
            .setLasting(step.longRunning())
            .setImage(step.image())
            .setTailTargetMillis(step.tailTargetMillis())
            .setFiller(step.filler());
    String label = step.requiredLabel();
    if (label != null) {
      record.setRequiredLabel(label);
    }
    String rack = step.preferredRack();
    if (rack != null) {
      record.setPreferredRack(rack);
    }
    Integer unavailable = step.maxUnavailable();
    if (unavailable != null) {
      // Zero stands for no limit.
      record.setMaxUnavailable(unavailable + 1);
    }
    return record.build();
  }

  private static Step step(StepRecord record) {
    List<Integer> dependsOn = record.getDependsOnList();
    return new Step(
        record.getCount(),
        new ResourceAmounts(record.getCpuMillis(), record.getMemoryMb(), record.getGpus()),
        record.getEstimateMillis(),
        dependsOn,
        record.getCheckpoints(),
        record.getGang(),
        record.getRackLocal(),
        record.getRequiredLabel().isEmpty() ? null : record.getRequiredLabel(),
        record.getPreferredRack().isEmpty() ? null : record.getPreferredRack(),
        record.getMaxPerWorker(),
        record.getSpeculative(),
        record.getLasting(),
        record.getImage(),
        record.getTailTargetMillis(),
        record.getFiller(),
        record.getMaxUnavailable() == 0 ? null : record.getMaxUnavailable() - 1);
  }
}
