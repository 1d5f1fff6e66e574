package org.hemlockpick.daemon;

import org.hemlockpick.proto.Output;

/** Routes each output of the loop to the component that handles its kind. */
final class OutputRouter {
  private final PendingExchanges exchanges;
  private final Effects effects;
  private final EventSink events;
  private final DaemonMetrics metrics;
  private final Runnable stopped;
  private volatile long clock;

  OutputRouter(
      PendingExchanges exchanges,
      Effects effects,
      EventSink events,
      DaemonMetrics metrics,
      Runnable stopped) {
    this.stopped = stopped;
    this.exchanges = exchanges;
    this.effects = effects;
    this.events = events;
    this.metrics = metrics;
  }

  /** Returns the highest Lamport clock of the outputs so far. */
  long clock() {
    return clock;
  }

  /** Routes one output; never blocks. */
  void route(Output output) {
    clock = Math.max(clock, output.getClock());
    switch (output.getBodyCase()) {
      case CALLER_ANSWER -> exchanges.complete(output.getCallerAnswer());
      case PEER_MESSAGE -> effects.send(output.getPeerMessage());
      case WORKER_CALL -> {
        metrics.onWorkerCall();
        effects.call(output.getWorkerCall(), output.getClock());
      }
      case STORE_CALL -> {
        metrics.onStoreCall();
        effects.call(output.getStoreCall(), output.getClock());
      }
      case BLOB_CALL -> {
        metrics.onBlobCall();
        effects.call(output.getBlobCall(), output.getClock());
      }
      case EVENT -> events.accept(output.getEvent());
      case WORKER_RESET -> effects.resetConnections(output.getWorkerReset().getWorker());
      case STOPPED -> stopped.run();
      case BODY_NOT_SET -> {
        // An output of a later version; ignored.
      }
    }
  }
}
