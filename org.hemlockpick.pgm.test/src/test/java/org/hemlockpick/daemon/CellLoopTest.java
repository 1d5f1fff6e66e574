package org.hemlockpick.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests how often the loop of a cell ticks. */
class CellLoopTest {
  private static final int ACTIONS = 2_000;

  /** Pause between two actions, shorter than the minimum interval between ticks. */
  private static final long PAUSE_NANOS = 100_000;

  private final AtomicInteger ticks = new AtomicInteger();
  private final CompletableFuture<Error> fatal = new CompletableFuture<>();

  /** Guards against a tick for each of thousands of replies a second. */
  @Test
  void aStreamOfActionsCausesNoTickForEach() throws Exception {
    CountDownLatch done = new CountDownLatch(ACTIONS);
    try (CellLoop loop = new CellLoop("test", ticks::incrementAndGet, fatal::complete)) {
      long startedAt = System.nanoTime();
      loop.start();
      for (int i = 0; i < ACTIONS; i++) {
        loop.execute(done::countDown);
        Thread.sleep(0, (int) PAUSE_NANOS);
      }
      done.await();
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
      long most = millis / CellLoop.MIN_TICK_INTERVAL_MILLIS + 2;
      assertTrue(ticks.get() <= most, () -> ticks + " ticks in " + millis + " ms");
    }
  }

  /** Actions must not wait for the next tick. */
  @Test
  void actionsRunBetweenTicks() throws Exception {
    CountDownLatch done = new CountDownLatch(ACTIONS);
    AtomicInteger acted = new AtomicInteger();
    AtomicInteger mostBetweenTicks = new AtomicInteger();
    Runnable tick = () -> mostBetweenTicks.accumulateAndGet(acted.getAndSet(0), Math::max);
    try (CellLoop loop = new CellLoop("test", tick, fatal::complete)) {
      loop.start();
      for (int i = 0; i < ACTIONS; i++) {
        loop.execute(
            () -> {
              acted.incrementAndGet();
              done.countDown();
            });
      }
      assertTrue(done.await(20, TimeUnit.SECONDS));
    }
    assertTrue(mostBetweenTicks.get() > 1 || acted.get() > 1);
  }

  /** Work that is due by the clock is done without any action. */
  @Test
  void anIdleLoopTicks() throws Exception {
    CountDownLatch ticked = new CountDownLatch(5);
    try (CellLoop loop = new CellLoop("test", ticked::countDown, fatal::complete)) {
      loop.start();
      assertTrue(ticked.await(20, TimeUnit.SECONDS));
    }
  }

  /** One bad message must not end the process. */
  @Test
  void aFailedActionDoesNotEndTheLoop() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (CellLoop loop = new CellLoop("test", () -> {}, fatal::complete)) {
      loop.start();
      loop.execute(
          () -> {
            throw new IllegalStateException("bad message");
          });
      loop.execute(
          () -> {
            throw new StackOverflowError("nested too deeply");
          });
      loop.execute(done::countDown);
      assertTrue(done.await(20, TimeUnit.SECONDS));
      assertTrue(loop.isResponsive());
    }
    assertFalse(fatal.isDone());
  }

  /** Guards against a process that lives on without its loop and answers nobody. */
  @Test
  void anErrorThatEndsTheLoopIsReported() throws Exception {
    OutOfMemoryError error = new OutOfMemoryError("test");
    try (CellLoop loop = new CellLoop("test", () -> {}, fatal::complete)) {
      loop.start();
      loop.execute(
          () -> {
            throw error;
          });
      assertSame(error, fatal.get(20, TimeUnit.SECONDS));
    }
  }
}
