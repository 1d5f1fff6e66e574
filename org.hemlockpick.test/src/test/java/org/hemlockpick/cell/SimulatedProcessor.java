package org.hemlockpick.cell;

import org.hemlockpick.fakes.VirtualTime;

/**
 * Simulates the processor of a small machine, which handles one event of a process after another.
 */
final class SimulatedProcessor {
  private static final long MICROS_PER_MILLI = 1_000;

  private final VirtualTime time;

  /** Time to open a connection, in microseconds. */
  final long connectMicros;

  /** Time to read and handle a reply, in microseconds. */
  final long replyMicros;

  private long busyUntilMicros;

  SimulatedProcessor(VirtualTime time, long connectMicros, long replyMicros) {
    this.time = time;
    this.connectMicros = connectMicros;
    this.replyMicros = replyMicros;
  }

  /** Runs an action that takes a time in microseconds, after all earlier ones. */
  void handle(long micros, Runnable action) {
    long now = time.millis() * MICROS_PER_MILLI;
    busyUntilMicros = Math.max(now, busyUntilMicros) + micros;
    time.after((busyUntilMicros - now) / MICROS_PER_MILLI, action);
  }
}
