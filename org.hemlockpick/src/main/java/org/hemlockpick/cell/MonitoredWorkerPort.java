package org.hemlockpick.cell;

import java.util.function.Consumer;

/** Forwards calls to workers, and counts them by outcome and measures their latency. */
final class MonitoredWorkerPort implements WorkerPort {
  private final WorkerPort port;
  private final LoopClock clock;
  private final CellMetrics metrics;

  MonitoredWorkerPort(WorkerPort port, LoopClock clock, CellMetrics metrics) {
    this.port = port;
    this.clock = clock;
    this.metrics = metrics;
  }

  @Override
  public void start(Target target, StartOrder order, Consumer<OrderReply> handler) {
    port.start(target, order, countingOrder("starts", handler));
  }

  @Override
  public void stop(Target target, RunId run, long token, Consumer<OrderReply> handler) {
    port.stop(target, run, token, countingOrder("stops", handler));
  }

  @Override
  public void pace(
      Target target, RunId run, int percent, long token, Consumer<OrderReply> handler) {
    port.pace(target, run, percent, token, countingOrder("paces", handler));
  }

  @Override
  public void hold(Target target, HoldCall call, Consumer<HoldReply> handler) {
    metrics.count("worker.calls");
    long sentAt = clock.monotonicMillis();
    port.hold(
        target,
        call,
        reply -> {
          onReply("holds", "hold.latency.millis", reply.outcome(), sentAt);
          handler.accept(reply);
        });
  }

  private Consumer<OrderReply> countingOrder(String group, Consumer<OrderReply> handler) {
    metrics.count("worker.calls");
    long sentAt = clock.monotonicMillis();
    return reply -> {
      onReply(group, "order.latency.millis", reply.outcome(), sentAt);
      handler.accept(reply);
    };
  }

  private void onReply(String group, String latency, OrderOutcome outcome, long sentAt) {
    metrics.count(group, outcome);
    boolean isAnswered = outcome != OrderOutcome.LOST && outcome != OrderOutcome.NOT_SENT;
    if (isAnswered) {
      metrics.record(latency, clock.monotonicMillis() - sentAt);
    } else {
      metrics.count("worker.unanswered");
    }
  }
}
