package org.hemlockpick.cell;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Calls to workers. Every call gets exactly one reply, on the loop's thread; a call is sent at most
 * once, and may be carried out seconds after it was reported as lost.
 */
public interface WorkerPort {
  /** Time limit of an order, in milliseconds. */
  long ORDER_TIMEOUT_MILLIS = 1_000;

  /**
   * Time limit of a hold beside its wait, in milliseconds. Long, as a report that comes late is as
   * true.
   */
  long HOLD_TIMEOUT_MILLIS = 1_500;

  /** Starts a run of a task. */
  void start(Target target, StartOrder order, Consumer<OrderReply> handler);

  /** Stops a run of a task. */
  void stop(Target target, RunId run, long token, Consumer<OrderReply> handler);

  /** Sets the share of its speed at which a run works, in percent. */
  void pace(Target target, RunId run, int percent, long token, Consumer<OrderReply> handler);

  /** Extends the lease of all runs on a worker and fetches what runs there. */
  void hold(Target target, HoldCall call, Consumer<HoldReply> handler);

  /**
   * The worker that a call is meant for.
   *
   * @param id identifier; another worker at the address refuses the call
   * @param address host and port
   */
  record Target(String id, String address) {}

  /** Names a run: a task and the number of its attempt. */
  record RunId(TaskId task, int attempt) {}

  /**
   * Order to start a run.
   *
   * @param run the run
   * @param spec text of the job
   * @param leaseUntilMillis end of the lease on the worker's clock
   * @param token fencing token
   * @param checkpoint checkpoint to resume from; empty for a start from the beginning
   */
  record StartOrder(RunId run, String spec, long leaseUntilMillis, long token, String checkpoint) {}

  /**
   * Call that extends the lease and asks for reports.
   *
   * @param token fencing token
   * @param acknowledgedUpTo ends up to this number are recorded and may be forgotten by the worker
   * @param leaseUntilMillis end of the lease on the worker's clock; null to leave it
   * @param waitMillis longest wait of the worker for an end, at most 2,000
   */
  record HoldCall(
      long token, long acknowledgedUpTo, @Nullable Long leaseUntilMillis, long waitMillis) {}

  /** What a worker answered to an order. */
  enum OrderOutcome {
    /** It is carried out. */
    ACCEPTED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** The attempt is not higher than one that was stopped or has ended there. */
    OUTDATED,
    /** The lease that the order names has passed. */
    LATE,
    /** The worker has no room. */
    NO_ROOM,
    /** The adviser's ticket is missing or no longer valid. */
    NO_TICKET,
    /** The worker could not understand the order. */
    MALFORMED,
    /** The worker is not healthy and did nothing. */
    UNHEALTHY,
    /** Another worker or boot answered and did nothing. */
    OTHER_BOOT,
    /** The order never left. */
    NOT_SENT,
    /** No answer; the order may be carried out, also later. */
    LOST
  }

  /**
   * Answer to an order.
   *
   * @param outcome what became of the order
   * @param clockMillis the worker's clock; 0 if not told
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
    /** Its lease ended. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** It waited for its gang in vain. */
    ALONE
  }

  /**
   * A run that is on the worker.
   *
   * @param run the run
   * @param checkpoint newest checkpoint; empty if there is none
   * @param percent share of the work that is done; 100 for a lasting task at work
   * @param gauge tail latency in milliseconds of a serving task, used thousandths of a core of any
   *     other; 0 if not told
   */
  record RunReport(RunId run, String checkpoint, int percent, long gauge) {}

  /**
   * A run that has ended.
   *
   * @param number number of the end in this boot of the worker, from 1
   * @param run the run
   * @param kind how it ended
   * @param checkpoint newest checkpoint; empty if there is none
   */
  record CompletionReport(long number, RunId run, CompletionKind kind, String checkpoint) {}

  /**
   * Answer to a hold.
   *
   * @param outcome ACCEPTED, FENCED, OTHER_BOOT, UNHEALTHY, NOT_SENT or LOST
   * @param clockMillis the worker's clock
   * @param bootTimeMillis time of the worker's start; 0 if not told
   * @param running runs on the worker
   * @param completions ends that were not yet seen, in the order of their numbers
   * @param isComplete whether all ends are told; if not, others follow once these are confirmed,
   *     and a run that is not named is not certain to be gone
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
