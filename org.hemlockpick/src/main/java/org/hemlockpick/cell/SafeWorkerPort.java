package org.hemlockpick.cell;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Forwards calls to workers. A call that the port fails to send, as it throws, is logged and gets
 * the reply that it was not sent with the next {@link #run}, like a call that failed later: the
 * caller goes on with its calls to other workers.
 */
final class SafeWorkerPort implements WorkerPort {
  /** Interval between two log lines about calls that could not be sent, in milliseconds. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private final WorkerPort port;
  private final LoopClock clock;
  private final DecisionLog log;

  /** Replies to calls that could not be sent. */
  private final Queue<Runnable> replies = new ArrayDeque<>();

  private long nextLogAt = Long.MIN_VALUE;

  /** Number of calls that could not be sent since the last log line. */
  private int omitted;

  SafeWorkerPort(WorkerPort port, LoopClock clock, DecisionLog log) {
    this.port = port;
    this.clock = clock;
    this.log = log;
  }

  @Override
  public void start(Target target, StartOrder order, Consumer<OrderReply> handler) {
    sendOrder(target, handler, () -> port.start(target, order, handler));
  }

  @Override
  public void stop(Target target, RunId run, long token, Consumer<OrderReply> handler) {
    sendOrder(target, handler, () -> port.stop(target, run, token, handler));
  }

  @Override
  public void pace(
      Target target, RunId run, int percent, long token, Consumer<OrderReply> handler) {
    sendOrder(target, handler, () -> port.pace(target, run, percent, token, handler));
  }

  @Override
  public void hold(Target target, HoldCall call, Consumer<HoldReply> handler) {
    HoldReply unsent = HoldReply.without(OrderOutcome.NOT_SENT);
    send(target, () -> port.hold(target, call, handler), () -> handler.accept(unsent));
  }

  /** Replies to the calls that could not be sent. */
  void run() {
    for (int left = replies.size(); left > 0; left--) {
      replies.remove().run();
    }
  }

  private void sendOrder(Target target, Consumer<OrderReply> handler, Runnable call) {
    OrderReply unsent = new OrderReply(OrderOutcome.NOT_SENT, 0);
    send(target, call, () -> handler.accept(unsent));
  }

  private void send(Target target, Runnable call, Runnable reply) {
    try {
      call.run();
    } catch (RuntimeException e) {
      replies.add(reply);
      logFailure(target, e);
    }
  }

  private void logFailure(Target target, RuntimeException cause) {
    long now = clock.monotonicMillis();
    if (now < nextLogAt) {
      omitted++;
      return;
    }
    String others = omitted == 0 ? "" : ", as " + omitted + " others since the last line";
    log.failed("worker", target.id(), "call to " + target.address() + others, cause);
    nextLogAt = now + LOG_INTERVAL_MILLIS;
    omitted = 0;
  }
}
