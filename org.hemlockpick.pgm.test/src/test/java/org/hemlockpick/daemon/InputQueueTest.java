package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.Input;
import org.junit.jupiter.api.Test;

class InputQueueTest {
  private final InputQueue queue = new InputQueue();
  private final PendingExchanges exchanges = new PendingExchanges(queue);

  @Test
  void refusesCallersAboveTheLimitImmediately() {
    fill();

    var exchange = exchanges.begin(number -> Input.getDefaultInstance());

    assertEquals(ResultCode.OVERLOADED.number(), exchange.answer().join().getCode());
    assertTrue(exchange.answer().join().getRetryAfterMillis() > 0);
  }

  @Test
  void acceptsPlatformRepliesAboveTheLimit() {
    fill();

    queue.put(Input.getDefaultInstance());

    assertEquals(InputQueue.MAX_CALLER_INPUTS + 1, queue.length());
  }

  @Test
  void acceptsCallersAgainOnceTheLoopHasTakenInputs() {
    fill();

    assertFalse(queue.take(0).isEmpty());

    assertTrue(queue.offer(Input.getDefaultInstance()));
  }

  private void fill() {
    for (int i = 0; i < InputQueue.MAX_CALLER_INPUTS; i++) {
      assertTrue(queue.offer(Input.getDefaultInstance()));
    }
  }
}
