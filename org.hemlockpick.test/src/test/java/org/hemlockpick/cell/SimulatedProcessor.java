package org.hemlockpick.cell;

import org.hemlockpick.fakes.VirtualTime;

/** The processor of a small machine: it handles one event of a process after the other. */
final class SimulatedProcessor {
  private static final long MICROS_PER_MILLI = 1_000;

  private final VirtualTime time;

  /** Time that it needs to open a connection, in microseconds. */
  final long connectMicros;

  /** Time that it needs to read and handle an answer, in microseconds. */
  final long replyMicros;

  private long busyUntilMicros;

  SimulatedProcessor(VirtualTime time, long connectMicros, long replyMicros) {
    this.time = time;
    this.connectMicros = connectMicros;
    this.replyMicros = replyMicros;
  }

  /** Does something that takes a time in microseconds, after all that came before. */
  void handle(long micros, Runnable action) {
    long now = time.millis() * MICROS_PER_MILLI;
    busyUntilMicros = Math.max(now, busyUntilMicros) + micros;
    time.after((busyUntilMicros - now) / MICROS_PER_MILLI, action);
  }
}
