package org.hemlockpick.cell;

import java.util.function.Consumer;

/**
 * Forwards calls to the table service, counts them, and measures their latency and for how long the
 * service has not answered.
 */
final class MonitoredTableService implements TableService {
  private static final long NONE = Long.MIN_VALUE;

  private final TableService service;
  private final LoopClock clock;
  private final CellMetrics metrics;

  /**
   * Time at which the first call after the last answer was sent, or of that answer if calls were in
   * flight; {@link #NONE} if every call has been answered.
   */
  private long unansweredSince = NONE;

  private int inFlight;

  MonitoredTableService(TableService service, LoopClock clock, CellMetrics metrics) {
    this.service = service;
    this.clock = clock;
    this.metrics = metrics;
  }

  /**
   * Returns for how long calls have gone without any answer, in milliseconds; 0 if none waits for
   * one.
   */
  long unresponsiveMillis() {
    return unansweredSince == NONE ? 0 : clock.monotonicMillis() - unansweredSince;
  }

  @Override
  public void transact(
      Transaction transaction, long timeoutMillis, Consumer<TransactionResult> handler) {
    long sentAt = onSent();
    service.transact(
        transaction,
        timeoutMillis,
        result -> {
          boolean answered =
              switch (result.outcome()) {
                case COMMITTED, CONFLICT, REFUSED -> true;
                case NOT_DONE, UNKNOWN -> false;
              };
          onCompleted(answered, sentAt);
          handler.accept(result);
        });
  }

  @Override
  public void read(Range range, long timeoutMillis, Consumer<ReadResult> handler) {
    long sentAt = onSent();
    service.read(
        range,
        timeoutMillis,
        result -> {
          onCompleted(result.isComplete(), sentAt);
          handler.accept(result);
        });
  }

  /**
   * A large answer may take long to arrive, so the wait for it does not count as unresponsiveness.
   */
  @Override
  public void readLarge(Range range, long idleTimeoutMillis, Consumer<ReadResult> handler) {
    metrics.count("store.calls");
    service.readLarge(
        range,
        idleTimeoutMillis,
        result -> {
          onLargeResult(result.isComplete());
          handler.accept(result);
        });
  }

  /** A watch may wait for long, so its silence does not count as unresponsiveness. */
  @Override
  public void watch(
      String table,
      long afterVersion,
      long waitMillis,
      long idleTimeoutMillis,
      Consumer<WatchResult> handler) {
    metrics.count("store.calls");
    service.watch(
        table,
        afterVersion,
        waitMillis,
        idleTimeoutMillis,
        result -> {
          onLargeResult(result.outcome() != WatchOutcome.FAILED);
          handler.accept(result);
        });
  }

  /** Returns the time at which the call was sent. */
  private long onSent() {
    metrics.count("store.calls");
    inFlight++;
    long now = clock.monotonicMillis();
    if (unansweredSince == NONE) {
      unansweredSince = now;
    }
    return now;
  }

  private void onCompleted(boolean answered, long sentAt) {
    inFlight--;
    if (answered) {
      metrics.record("store.latency.millis", clock.monotonicMillis() - sentAt);
      onAnswer();
    } else {
      metrics.count("store.unanswered");
    }
  }

  private void onLargeResult(boolean answered) {
    if (answered) {
      onAnswer();
    } else {
      metrics.count("store.unanswered");
    }
  }

  private void onAnswer() {
    unansweredSince = inFlight > 0 ? clock.monotonicMillis() : NONE;
  }
}
