package org.hemlockpick.transport;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions by polling, with a timeout far above the time that they need. */
public final class Eventually {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long POLL_MILLIS = 5;

  private Eventually() {}

  /** Returns once the condition holds; fails the test with the text on timeout. */
  public static void holds(BooleanSupplier condition, Supplier<String> text) {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("never happened: " + text.get());
      }
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
