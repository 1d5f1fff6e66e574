package org.hemlockpick.cell;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.Condition;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.cell.calls.CallRetries;
import org.hemlockpick.cell.calls.EndWait;
import org.hemlockpick.cell.calls.TombstoneBudget;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.ProgressRecord;
import org.jspecify.annotations.Nullable;

/**
 * Handles calls from callers: stores jobs and cancellations in the table service, and reads states
 * from it. Every entry instance can do so, whether it holds the cell or not.
 */
final class JobCallHandler {
  /** Maximum time for which a call that is known not to have been executed is retried. */
  private static final long MAX_RETRY_MILLIS = 400;

  /** Time without an answer of the table service after which no call is sent to it. */
  private static final long STORE_UNRESPONSIVE_MILLIS = 800;

  /** Maximum time for which a call of unknown outcome is retried to determine its outcome. */
  private static final long MAX_SETTLE_MILLIS = 2_000;

  /** Part of the caller's timeout that is reserved for transmitting the answer. */
  private static final long ANSWER_MARGIN_MILLIS = 150;

  private final CellSettings settings;
  private final MonitoredTableService store;

  /** Returns the configuration in force; null until one was read. */
  private final Supplier<@Nullable Configuration> configuration;

  private final LoopClock clock;
  private final DecisionLog log;
  private final CellMetrics metrics;
  private final TombstoneBudget tombstones = new TombstoneBudget();
  private final CallRetries retries = new CallRetries();
  private int openCalls;

  JobCallHandler(
      CellSettings settings,
      MonitoredTableService store,
      Supplier<@Nullable Configuration> configuration,
      LoopClock clock,
      DecisionLog log,
      CellMetrics metrics) {
    this.settings = settings;
    this.store = store;
    this.configuration = configuration;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Returns the number of calls that have not been answered yet. */
  int openCalls() {
    return openCalls;
  }

  /**
   * Stores a job with the terms of its queue, which must be in force. Idempotent: a repeated
   * identifier denotes the same job.
   */
  void submit(Submission job, long timeoutMillis, Consumer<CallerReply> handler) {
    ifConfigured(handler, inForce -> submit(job, inForce, timeoutMillis, handler));
  }

  private void submit(
      Submission job, Configuration inForce, long timeoutMillis, Consumer<CallerReply> handler) {
    Queue queue = inForce.queue(job.queue()).orElse(null);
    if (queue == null) {
      handler.accept(CallerReply.of(ResultCode.UNKNOWN_SERVICE));
      return;
    }
    ByteString row = JobRows.encode(job.withTerms(queue));
    if (row.size() > settings.rowBytes()) {
      log.decided("submit", job.id(), ResultCode.TOO_LARGE.name(), row.size() + " bytes in a row");
      handler.accept(CallerReply.of(ResultCode.TOO_LARGE));
      return;
    }
    new Submit(job.id(), row, timeoutMillis, handler).trySend();
  }

  /** Stores the cancellation of a job; of one that is not stored, a tombstone. */
  void cancel(JobAddress job, String caller, long timeoutMillis, Consumer<CallerReply> handler) {
    ifConfigured(
        handler,
        inForce ->
            new Cancel(new JobOwnership(job, inForce), caller, timeoutMillis, handler).trySend());
  }

  /** Reads the state of a job. */
  void state(JobAddress job, long timeoutMillis, Consumer<CallerReply> handler) {
    ifConfigured(
        handler,
        inForce -> new Query(new JobOwnership(job, inForce), timeoutMillis, handler).trySend());
  }

  /** Runs an action with the configuration in force, or asks the caller to retry. */
  private void ifConfigured(Consumer<CallerReply> handler, Consumer<Configuration> action) {
    Configuration inForce = configuration.get();
    if (inForce == null) {
      handler.accept(CallerReply.retryLater(ResultCode.NOT_READY));
      return;
    }
    action.accept(inForce);
  }

  /** Sends the retries that are due. */
  void run() {
    retries.run(clock.monotonicMillis());
  }

  /** A call of a caller that has not been answered yet. */
  private abstract class Call {
    final String job;
    private final Consumer<CallerReply> handler;
    private final long startedAt = clock.monotonicMillis();
    private final long deadline;
    private boolean mayHaveRun;

    Call(String job, long timeoutMillis, Consumer<CallerReply> handler) {
      this.job = job;
      this.handler = handler;
      this.deadline =
          startedAt
              + Math.min(MAX_SETTLE_MILLIS, Math.max(0, timeoutMillis - ANSWER_MARGIN_MILLIS));
      openCalls++;
    }

    /** Sends the call, unless the table service is currently unresponsive. */
    void trySend() {
      if (store.unresponsiveMillis() >= STORE_UNRESPONSIVE_MILLIS) {
        retryOrGiveUp();
        return;
      }
      send();
    }

    abstract void send();

    abstract String kind();

    boolean isExpired() {
      return clock.monotonicMillis() >= deadline;
    }

    long storeTimeoutMillis() {
      return Math.max(
          1, Math.min(CellTiming.STORE_TIMEOUT_MILLIS, deadline - clock.monotonicMillis()));
    }

    void answer(CallerReply reply) {
      openCalls--;
      long took = clock.monotonicMillis() - startedAt;
      log.decided(kind(), job, reply.outcome(), took + " ms");
      handler.accept(reply);
    }

    /** Schedules a retry of a call that was not executed, or gives up. */
    void retryOrGiveUp() {
      long now = clock.monotonicMillis();
      long until = mayHaveRun ? deadline : Math.min(deadline, startedAt + MAX_RETRY_MILLIS);
      if (now + CallRetries.PAUSE_MILLIS < until) {
        retries.add(now, this::trySend);
      } else {
        giveUp();
      }
    }

    /**
     * Schedules a retry of a call that may have been executed, or gives up: at once if the table
     * service answers no calls, as another entry instance may serve the caller.
     */
    void onUnknown(boolean mayHaveWritten) {
      mayHaveRun |= mayHaveWritten;
      if (store.unresponsiveMillis() >= STORE_UNRESPONSIVE_MILLIS) {
        giveUp();
        return;
      }
      retryOrGiveUp();
    }

    void giveUp() {
      answer(
          mayHaveRun
              ? CallerReply.retryLater(ResultCode.OUTCOME_UNKNOWN)
              : CallerReply.retryLater(ResultCode.STORE_UNREACHABLE));
    }
  }

  private final class Submit extends Call {
    private final ByteString value;
    private boolean sent;

    Submit(String job, ByteString value, long timeoutMillis, Consumer<CallerReply> handler) {
      super(job, timeoutMillis, handler);
      this.value = value;
    }

    @Override
    String kind() {
      return "submit";
    }

    /** Sends nothing again for a caller who has given up: the process may have been suspended. */
    @Override
    void send() {
      if (sent && isExpired()) {
        giveUp();
        return;
      }
      sent = true;
      var row = JobRows.submission(job);
      Transaction transaction =
          new Transaction(
              JobRows.part(settings.cell(), job),
              List.of(new Condition(row, 0)),
              List.of(new Write(row, value)),
              List.of());
      store.transact(transaction, storeTimeoutMillis(), this::onResult);
    }

    private void onResult(TransactionResult result) {
      switch (result.outcome()) {
        // On a conflict the job is already stored: the call is repeated, or its first answer was
        // lost.
        case COMMITTED, CONFLICT -> answer(CallerReply.of(ResultCode.DONE));
        case NOT_DONE -> retryOrGiveUp();
        case REFUSED -> answer(CallerReply.retryLater(ResultCode.TOO_LARGE));
        case UNKNOWN -> onUnknown(true);
      }
    }
  }

  /** A call that first reads what is stored of a job. */
  private abstract class Lookup extends Call {
    final JobOwnership ownership;
    private @Nullable JobState progress;

    Lookup(JobOwnership ownership, long timeoutMillis, Consumer<CallerReply> handler) {
      super(ownership.job(), timeoutMillis, handler);
      this.ownership = ownership;
    }

    @Override
    void send() {
      store.read(
          JobRows.progressRange(settings.cell(), job), storeTimeoutMillis(), this::onProgress);
    }

    /** Handles a job that has ended, with its final state. */
    abstract void onEnded(JobState state);

    /** Handles an open job. */
    abstract void onOpen(StoredRow submission, JobState state);

    /** Handles a job that is not stored. */
    abstract void onAbsent();

    private void onProgress(ReadResult result) {
      if (!result.isComplete()) {
        retryOrGiveUp();
        return;
      }
      ProgressRecord record = null;
      for (StoredRow row : result.rows()) {
        record = JobRows.progress(row.value()).orElse(record);
      }
      progress = record == null ? null : JobRows.state(record.getState());
      if (record != null && progress != null && progress.isFinal()) {
        if (ownership.covers(record)) {
          onEnded(progress);
        } else {
          answer(CallerReply.of(ownership.unknownJob()));
        }
        return;
      }
      onUnfinished(progress);
    }

    /** Handles a job that has not ended; reads whether it exists and is canceled. */
    void onUnfinished(@Nullable JobState state) {
      store.read(JobRows.range(settings.cell(), job), storeTimeoutMillis(), this::onRows);
    }

    private void onRows(ReadResult result) {
      if (!result.isComplete()) {
        retryOrGiveUp();
        return;
      }
      CallerRows rows = CallerRows.of(result.rows());
      StoredRow submission = rows.submission();
      if (submission == null) {
        onAbsent();
      } else if (!ownership.covers(submission)) {
        answer(CallerReply.of(ownership.unknownJob()));
      } else if (rows.isCanceled()) {
        onEnded(JobState.CANCELED);
      } else if (JobRows.isHidden(submission.value())) {
        CallerRows.readSetAside(
            store,
            settings.cell(),
            job,
            storeTimeoutMillis(),
            aside -> onState(submission, aside == null ? progress : aside));
      } else {
        onState(submission, progress);
      }
    }

    private void onState(StoredRow submission, @Nullable JobState state) {
      if (state != null && state.isFinal()) {
        onEnded(state);
      } else {
        onOpen(submission, state == null ? JobState.QUEUED : state);
      }
    }
  }

  /** Reads the state of a job; of one that runs, again until the wait for its end is over. */
  private final class Query extends Lookup {
    private @Nullable EndWait endWait;

    Query(JobOwnership ownership, long timeoutMillis, Consumer<CallerReply> handler) {
      super(ownership, timeoutMillis, handler);
    }

    @Override
    String kind() {
      return "state";
    }

    @Override
    void onEnded(JobState state) {
      answer(CallerReply.of(state));
    }

    @Override
    void onUnfinished(@Nullable JobState state) {
      if (endWait == null || state == null) {
        super.onUnfinished(state);
      } else {
        answerOrWait(state, endWait);
      }
    }

    @Override
    void onOpen(StoredRow submission, JobState state) {
      Submission stored = JobRows.submission(job, submission.value()).orElse(null);
      endWait = EndWait.of(stored, state, clock.monotonicMillis());
      answerOrWait(state, endWait);
    }

    @Override
    void onAbsent() {
      answer(CallerReply.of(ownership.unknownJob()));
    }

    private void answerOrWait(JobState state, EndWait wait) {
      long now = clock.monotonicMillis();
      if (wait.includes(now + CallRetries.PAUSE_MILLIS)) {
        retries.add(now, this::trySend);
      } else {
        answer(CallerReply.of(state));
      }
    }
  }

  private final class Cancel extends Lookup {
    private final String caller;

    Cancel(
        JobOwnership ownership, String caller, long timeoutMillis, Consumer<CallerReply> handler) {
      super(ownership, timeoutMillis, handler);
      this.caller = caller;
    }

    @Override
    String kind() {
      return "cancel";
    }

    @Override
    void onEnded(JobState state) {
      answer(CallerReply.of(ResultCode.DONE));
    }

    @Override
    void onOpen(StoredRow submission, JobState state) {
      writeCancellation(submission.version());
    }

    private void writeCancellation(long version) {
      Transaction transaction =
          new Transaction(
              JobRows.part(settings.cell(), job),
              List.of(new Condition(JobRows.submission(job), version)),
              List.of(new Write(JobRows.cancellation(job), ByteString.EMPTY)),
              List.of());
      store.transact(transaction, storeTimeoutMillis(), this::onWritten);
    }

    private void onWritten(TransactionResult result) {
      if (result.outcome() == Outcome.COMMITTED) {
        answer(CallerReply.of(ResultCode.DONE));
      } else {
        onUnknown(result.outcome() == Outcome.UNKNOWN);
      }
    }

    /**
     * Stores a tombstone before the caller is told that there is no such job: its submission may
     * still be stored, by a late write or by an instance that handles the call late. Where no queue
     * is in force the answer promises nothing.
     */
    @Override
    void onAbsent() {
      if (ownership.unknownJob() != ResultCode.UNKNOWN_JOB) {
        answer(CallerReply.of(ownership.unknownJob()));
        return;
      }
      if (!tombstones.reserve(job, caller, clock.monotonicMillis())) {
        metrics.count("cancel.tombstones.refused");
        answer(CallerReply.retryLater(ResultCode.OVERLOADED));
        return;
      }
      Transaction transaction =
          new Transaction(
              JobRows.part(settings.cell(), job),
              List.of(new Condition(JobRows.submission(job), 0)),
              List.of(new Write(JobRows.cancellation(job), ByteString.EMPTY)),
              List.of());
      store.transact(transaction, storeTimeoutMillis(), this::onTombstoneWritten);
    }

    private void onTombstoneWritten(TransactionResult result) {
      switch (result.outcome()) {
        case COMMITTED -> {
          metrics.count("cancel.tombstones");
          answer(CallerReply.of(ResultCode.UNKNOWN_JOB));
        }
        case UNKNOWN -> onUnknown(true);
        // The job is stored now; the next try cancels it.
        case CONFLICT -> {
          tombstones.release(job);
          retryOrGiveUp();
        }
        case NOT_DONE, REFUSED -> retryOrGiveUp();
      }
    }
  }
}
