package org.hemlockpick.cell;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.Condition;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.errors.ResultCode;
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

  private static final long RETRY_PAUSE_MILLIS = 60;

  /** Maximum time for which a call of unknown outcome is retried to determine its outcome. */
  private static final long MAX_SETTLE_MILLIS = 2_000;

  /** Part of the caller's timeout that is reserved for transmitting the answer. */
  private static final long ANSWER_MARGIN_MILLIS = 150;

  private final CellSettings settings;

  private final MonitoredTableService store;
  private final LoopClock clock;
  private final DecisionLog log;
  private final Queue<Retry> retries = new ArrayDeque<>();
  private int openCalls;

  JobCallHandler(
      CellSettings settings, MonitoredTableService store, LoopClock clock, DecisionLog log) {
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.log = log;
  }

  /** Returns the number of calls that have not been answered yet. */
  int openCalls() {
    return openCalls;
  }

  /** Stores a job. Idempotent: a repeated identifier denotes the same job. */
  void submit(Submission job, long timeoutMillis, Consumer<CallerReply> handler) {
    new Submit(job, timeoutMillis, handler).trySend();
  }

  /** Stores the cancellation of a job. */
  void cancel(String job, long timeoutMillis, Consumer<CallerReply> handler) {
    new Cancel(job, timeoutMillis, handler).trySend();
  }

  /** Reads the state of a job. */
  void state(String job, long timeoutMillis, Consumer<CallerReply> handler) {
    new Query(job, timeoutMillis, handler).trySend();
  }

  /** Sends the retries that are due. */
  void run() {
    long now = clock.monotonicMillis();
    List<Call> due = new ArrayList<>();
    while (!retries.isEmpty() && retries.element().dueAt() <= now) {
      due.add(retries.remove().call());
    }
    due.forEach(Call::trySend);
  }

  private record Retry(long dueAt, Call call) {}

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

    long storeTimeoutMillis() {
      return Math.max(
          1, Math.min(CellTiming.STORE_TIMEOUT_MILLIS, deadline - clock.monotonicMillis()));
    }

    void answer(CallerReply reply) {
      openCalls--;
      long took = clock.monotonicMillis() - startedAt;
      log.decided(kind(), job, outcome(reply), took + " ms");
      handler.accept(reply);
    }

    /** Schedules a retry of a call that was not executed, or gives up. */
    void retryOrGiveUp() {
      long now = clock.monotonicMillis();
      long until = mayHaveRun ? deadline : Math.min(deadline, startedAt + MAX_RETRY_MILLIS);
      if (now + RETRY_PAUSE_MILLIS < until) {
        retries.add(new Retry(now + RETRY_PAUSE_MILLIS, this));
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

    private void giveUp() {
      answer(
          mayHaveRun
              ? CallerReply.retryLater(ResultCode.OUTCOME_UNKNOWN)
              : CallerReply.retryLater(ResultCode.STORE_UNREACHABLE));
    }

    private String outcome(CallerReply reply) {
      JobState state = reply.state();
      return state == null ? reply.code().name() : state.name();
    }
  }

  private final class Submit extends Call {
    private final ByteString value;

    Submit(Submission submission, long timeoutMillis, Consumer<CallerReply> handler) {
      super(submission.id(), timeoutMillis, handler);
      this.value = JobRows.encode(submission);
    }

    @Override
    String kind() {
      return "submit";
    }

    @Override
    void send() {
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
    private @Nullable JobState progress;

    Lookup(String job, long timeoutMillis, Consumer<CallerReply> handler) {
      super(job, timeoutMillis, handler);
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

    private void onProgress(ReadResult result) {
      if (!result.isComplete()) {
        retryOrGiveUp();
        return;
      }
      progress = null;
      for (StoredRow row : result.rows()) {
        progress =
            JobRows.progress(row.value())
                .map(record -> JobRows.state(record.getState()))
                .orElse(progress);
      }
      if (progress != null && progress.isFinal()) {
        onEnded(progress);
        return;
      }
      store.read(JobRows.range(settings.cell(), job), storeTimeoutMillis(), this::onRows);
    }

    private void onRows(ReadResult result) {
      if (!result.isComplete()) {
        retryOrGiveUp();
        return;
      }
      StoredRow submission = null;
      boolean isCanceled = false;
      for (StoredRow row : result.rows()) {
        JobRows.Kind kind = JobRows.kind(row.key()).orElse(null);
        submission = kind == JobRows.Kind.SUBMISSION ? row : submission;
        isCanceled |= kind == JobRows.Kind.CANCELLATION;
      }
      if (submission == null) {
        answer(CallerReply.of(ResultCode.UNKNOWN_JOB));
      } else if (isCanceled) {
        onEnded(JobState.CANCELED);
      } else {
        onOpen(submission, progress == null ? JobState.QUEUED : progress);
      }
    }
  }

  private final class Query extends Lookup {
    Query(String job, long timeoutMillis, Consumer<CallerReply> handler) {
      super(job, timeoutMillis, handler);
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
    void onOpen(StoredRow submission, JobState state) {
      answer(CallerReply.of(state));
    }
  }

  private final class Cancel extends Lookup {
    Cancel(String job, long timeoutMillis, Consumer<CallerReply> handler) {
      super(job, timeoutMillis, handler);
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
  }
}
