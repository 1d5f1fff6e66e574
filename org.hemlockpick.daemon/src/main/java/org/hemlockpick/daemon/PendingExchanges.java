package org.hemlockpick.daemon;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.CallerGone;
import org.hemlockpick.proto.Input;

/**
 * The exchanges with callers that wait for the loop's answer.
 *
 * <p>Each exchange has a number that is never reused, so that an answer can reach only the caller
 * it is meant for.
 */
final class PendingExchanges {
  private static final int RETRY_AFTER_MILLIS = 1_000;

  private final InputQueue queue;
  private final AtomicLong lastNumber = new AtomicLong();
  private final Map<Long, CompletableFuture<CallerAnswer>> open = new ConcurrentHashMap<>();
  private boolean refusing;

  /**
   * Creates a table without exchanges.
   *
   * @param queue queue of the loop's inputs
   */
  PendingExchanges(InputQueue queue) {
    this.queue = queue;
  }

  /**
   * Begins an exchange.
   *
   * @param input builds the input from the number of the exchange
   */
  synchronized Exchange begin(LongFunction<Input> input) {
    long number = lastNumber.incrementAndGet();
    CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
    open.put(number, answer);
    if (refusing) {
      refuse(number, ResultCode.STOPPING, Messages.SHUTTING_DOWN);
    } else if (!queue.offer(input.apply(number))) {
      refuse(number, ResultCode.OVERLOADED, Messages.QUEUE_FULL);
    }
    return new Exchange(number, answer);
  }

  /** Delivers an answer to its caller; drops it if the caller has disconnected. */
  void complete(CallerAnswer answer) {
    CompletableFuture<CallerAnswer> waiting = open.remove(answer.getExchange());
    if (waiting != null) {
      waiting.complete(answer);
    }
  }

  /** Notifies the loop that a caller has disconnected, unless it has its answer. */
  void abandon(long number) {
    if (open.remove(number) == null) {
      return;
    }
    CallerGone gone = CallerGone.newBuilder().setExchange(number).build();
    queue.put(Input.newBuilder().setCallerGone(gone).build());
  }

  /** Refuses every new exchange from now on; none reaches the queue afterwards. */
  synchronized void refuseNew() {
    refusing = true;
  }

  /** Answers every open exchange with an unknown outcome and refuses new ones. */
  void close() {
    refuseNew();
    open.keySet()
        .forEach(number -> refuse(number, ResultCode.OUTCOME_UNKNOWN, Messages.SHUTTING_DOWN));
  }

  private void refuse(long number, ResultCode code, String detail) {
    complete(
        CallerAnswer.newBuilder()
            .setExchange(number)
            .setCode(code.number())
            .setDetail(detail)
            .setRetryAfterMillis(code == ResultCode.OUTCOME_UNKNOWN ? 0 : RETRY_AFTER_MILLIS)
            .build());
  }

  /**
   * One exchange with a caller.
   *
   * @param number number of the exchange
   * @param answer completes with the loop's answer
   */
  record Exchange(long number, CompletableFuture<CallerAnswer> answer) {}
}
