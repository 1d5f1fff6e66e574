package org.hemlockpick.cell;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Sends calls to workers. Every call gets exactly one reply, on the loop's thread; a call is sent
 * at most once, and may be carried out seconds after it was reported as lost. A method that throws
 * has sent nothing, and its call gets no reply.
 */
public interface WorkerPort {
  /** Timeout of an order, in milliseconds. */
  long ORDER_TIMEOUT_MILLIS = 1_000;

  /**
   * Timeout of a hold call beyond its wait, in milliseconds. It is long because a late report is
   * just as valid.
   */
  long HOLD_TIMEOUT_MILLIS = 1_500;

  /** Starts a run of a task. */
  void start(Target target, StartOrder order, Consumer<OrderReply> handler);

  /** Stops a run of a task. */
  void stop(Target target, RunId run, long token, Consumer<OrderReply> handler);

  /** Sets the pace of a run, in percent of its full speed. */
  void pace(Target target, RunId run, int percent, long token, Consumer<OrderReply> handler);

  /** Extends the lease of all runs on a worker and requests its report. */
  void hold(Target target, HoldCall call, Consumer<HoldReply> handler);

  /**
   * The worker that a call is sent to.
   *
   * @param id identifier; another worker at the address refuses the call
   * @param address host and port
   */
  record Target(String id, String address) {}

  /** Identifies a run: a task and the number of its attempt. */
  record RunId(TaskId task, int attempt) {}

  /**
   * Order to start a run.
   *
   * @param run the run
   * @param spec specification of the job, as text
   * @param leaseUntilMillis expiry of the lease on the worker's clock
   * @param token fencing token
   * @param checkpoint checkpoint to resume from; empty to start from the beginning
   */
  record StartOrder(RunId run, String spec, long leaseUntilMillis, long token, String checkpoint) {}

  /**
   * Call that extends the lease and requests a report.
   *
   * @param token fencing token
   * @param acknowledgedUpTo completions up to this number are recorded and may be forgotten by the
   *     worker
   * @param leaseUntilMillis expiry of the lease on the worker's clock; null to leave it unchanged
   * @param waitMillis maximum time that the worker waits for a completion, at most 2,000
   */
  record HoldCall(
      long token, long acknowledgedUpTo, @Nullable Long leaseUntilMillis, long waitMillis) {}

  /** Outcome of an order. */
  enum OrderOutcome {
    /** It is carried out. */
    ACCEPTED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The attempt is not higher than one that was stopped or has ended there. */
    OUTDATED,
    /** The lease named in the order has expired. */
    LATE,
    /** The worker does not have enough free capacity. */
    NO_ROOM,
    /** The advisor's ticket is missing or no longer valid. */
    NO_TICKET,
    /** The worker could not parse the order. */
    MALFORMED,
    /** The worker is not healthy and did nothing. */
    UNHEALTHY,
    /** Another worker or boot answered and did nothing. */
    OTHER_BOOT,
    /** The order was not sent. */
    NOT_SENT,
    /** No answer; the order may be carried out, even later. */
    LOST
  }

  /**
   * Answer to an order.
   *
   * @param outcome outcome of the order
   * @param clockMillis the worker's clock; 0 if not known
   */
  record OrderReply(OrderOutcome outcome, long clockMillis) {}

  /** How a run ended. */
  enum CompletionKind {
    /** Its work is done. */
    DONE,
    /** It failed. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** It waited in vain for the other members of its gang. */
    ALONE
  }

  /**
   * A run that is on the worker.
   *
   * @param run the run
   * @param checkpoint newest checkpoint; empty if there is none
   * @param percent share of the work that is done; 100 for a long-running task at work
   * @param gauge tail latency in milliseconds of a serving task, CPU usage in millicores of any
   *     other; 0 if not known
   */
  record RunReport(RunId run, String checkpoint, int percent, long gauge) {}

  /**
   * A run that has ended.
   *
   * @param number number of the completion in this boot of the worker, from 1
   * @param run the run
   * @param kind how it ended
   * @param checkpoint newest checkpoint; empty if there is none
   */
  record CompletionReport(long number, RunId run, CompletionKind kind, String checkpoint) {}

  /**
   * Answer to a hold call.
   *
   * @param outcome ACCEPTED, FENCED, OTHER_BOOT, UNHEALTHY, NOT_SENT or LOST
   * @param clockMillis the worker's clock
   * @param bootTimeMillis time of the worker's start; 0 if not known
   * @param running runs on the worker
   * @param completions completions that are not acknowledged yet, by ascending number
   * @param isComplete whether all completions are reported; if not, others follow once these are
   *     acknowledged, and a run that is not named may still exist
   */
  record HoldReply(
      OrderOutcome outcome,
      long clockMillis,
      long bootTimeMillis,
      ImmutableList<RunReport> running,
      ImmutableList<CompletionReport> completions,
      boolean isComplete) {

    /** Returns a reply without content. */
    public static HoldReply without(OrderOutcome outcome) {
      return new HoldReply(outcome, 0, 0, ImmutableList.of(), ImmutableList.of(), false);
    }
  }
}
