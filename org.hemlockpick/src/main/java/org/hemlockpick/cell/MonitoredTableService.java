package org.hemlockpick.cell;

import java.util.function.Consumer;

/** Forwards calls to the table service and measures for how long it has not answered. */
final class MonitoredTableService implements TableService {
  private static final long NONE = Long.MIN_VALUE;

  private final TableService service;
  private final LoopClock clock;

  /**
   * Time at which the first call after the last answer was sent, or of that answer if calls were in
   * flight; {@link #NONE} if every call has been answered.
   */
  private long unansweredSince = NONE;

  private int inFlight;

  MonitoredTableService(TableService service, LoopClock clock) {
    this.service = service;
    this.clock = clock;
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
    onSent();
    service.transact(
        transaction,
        timeoutMillis,
        result -> {
          boolean answered =
              switch (result.outcome()) {
                case COMMITTED, CONFLICT, REFUSED -> true;
                case NOT_DONE, UNKNOWN -> false;
              };
          onCompleted(answered);
          handler.accept(result);
        });
  }

  @Override
  public void read(Range range, long timeoutMillis, Consumer<ReadResult> handler) {
    onSent();
    service.read(
        range,
        timeoutMillis,
        result -> {
          onCompleted(result.isComplete());
          handler.accept(result);
        });
  }

  /**
   * A large answer may take long to arrive, so the wait for it does not count as unresponsiveness.
   */
  @Override
  public void readLarge(Range range, long idleTimeoutMillis, Consumer<ReadResult> handler) {
    service.readLarge(
        range,
        idleTimeoutMillis,
        result -> {
          if (result.isComplete()) {
            onAnswer();
          }
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
    service.watch(
        table,
        afterVersion,
        waitMillis,
        idleTimeoutMillis,
        result -> {
          if (result.outcome() != WatchOutcome.FAILED) {
            onAnswer();
          }
          handler.accept(result);
        });
  }

  private void onSent() {
    inFlight++;
    if (unansweredSince == NONE) {
      unansweredSince = clock.monotonicMillis();
    }
  }

  private void onCompleted(boolean answered) {
    inFlight--;
    if (answered) {
      onAnswer();
    }
  }

  private void onAnswer() {
    unansweredSince = inFlight > 0 ? clock.monotonicMillis() : NONE;
  }
}
