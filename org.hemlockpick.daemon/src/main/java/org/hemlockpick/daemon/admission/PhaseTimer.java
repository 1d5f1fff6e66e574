package org.hemlockpick.daemon.admission;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Calls back once a connection has been in a phase for too long. Used on the connection's event
 * loop; times are in milliseconds.
 */
final class PhaseTimer {
  private final EventLoop eventLoop;
  private final LongSupplier clock;
  private final LongSupplier deadline;
  private final Runnable onExpired;
  private @Nullable ScheduledFuture<?> scheduled;
  private long scheduledAt = Long.MAX_VALUE;

  /**
   * Creates a timer that is not running.
   *
   * @param deadline end of the current phase; may change at any time
   */
  PhaseTimer(EventLoop eventLoop, LongSupplier clock, LongSupplier deadline, Runnable onExpired) {
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.deadline = deadline;
    this.onExpired = onExpired;
  }

  /** Takes account of a deadline that may be earlier than before. */
  void update() {
    long due = deadline.getAsLong();
    if (due < scheduledAt) {
      cancel();
      schedule(due);
    }
  }

  void cancel() {
    if (scheduled != null) {
      scheduled.cancel(false);
      scheduled = null;
    }
    scheduledAt = Long.MAX_VALUE;
  }

  private void schedule(long due) {
    long delay = due - clock.getAsLong();
    if (delay > TimeUnit.DAYS.toMillis(1)) {
      return;
    }
    scheduledAt = due;
    scheduled = eventLoop.schedule(this::fire, Math.max(0, delay), TimeUnit.MILLISECONDS);
  }

  private void fire() {
    scheduled = null;
    scheduledAt = Long.MAX_VALUE;
    if (clock.getAsLong() >= deadline.getAsLong()) {
      onExpired.run();
    } else {
      update();
    }
  }
}
