package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.proto.CallerRequest;
import org.hemlockpick.proto.Input;
import org.hemlockpick.proto.Output;
import org.junit.jupiter.api.Test;

/** Tests which answers callers get while the loop's thread closes. */
class LoopThreadTest {
  private static final long TIMEOUT_SECONDS = 30;

  private final InputQueue queue = new InputQueue();
  private final PendingExchanges exchanges = new PendingExchanges(queue);
  private final FakeLoop loop = new FakeLoop();
  private final CountDownLatch firstTick = new CountDownLatch(1);
  private final CountDownLatch release = new CountDownLatch(1);

  private final LoopThread thread =
      new LoopThread(
          "test",
          queue,
          new BlockingLoop(),
          new TickClock(0),
          InstantSource.system(),
          this::deliver,
          (now, nanos, inputs, outputs) -> {},
          error -> {});

  @Test
  void pendingCallersGetTheLoopsAnswerWhenTheThreadCloses() throws InterruptedException {
    thread.start();
    assertTrue(firstTick.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    List<PendingExchanges.Exchange> waiting =
        Stream.generate(this::beginExchange).limit(3).toList();

    exchanges.refuseNew();
    Thread closer = new Thread(thread::close);
    closer.start();
    release.countDown();
    closer.join();
    exchanges.close();

    for (PendingExchanges.Exchange exchange : waiting) {
      assertEquals(ResultCode.DONE.number(), exchange.answer().join().getCode());
    }
  }

  @Test
  void newCallersAreRefusedAsNotRunAfterTheStop() {
    exchanges.refuseNew();

    assertEquals(ResultCode.STOPPING.number(), beginExchange().answer().join().getCode());
    assertEquals(0, queue.length());
  }

  private PendingExchanges.Exchange beginExchange() {
    return exchanges.begin(
        number ->
            Input.newBuilder()
                .setCallerRequest(CallerRequest.newBuilder().setExchange(number))
                .build());
  }

  private void deliver(Output output) {
    if (output.hasCallerAnswer()) {
      exchanges.complete(output.getCallerAnswer());
    }
  }

  /** Blocks its first tick until released. */
  private final class BlockingLoop implements Loop {
    @Override
    public List<Output> tick(List<Input> inputs) {
      firstTick.countDown();
      awaitRelease();
      return loop.tick(inputs);
    }

    @Override
    public boolean isReady() {
      return loop.isReady();
    }

    @Override
    public boolean isStopped() {
      return loop.isStopped();
    }

    private void awaitRelease() {
      boolean interrupted = false;
      while (release.getCount() > 0) {
        try {
          release.await();
        } catch (InterruptedException e) {
          interrupted = true;
        }
      }
      if (interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
