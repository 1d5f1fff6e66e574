package org.hemlockpick.platform.soak;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Holds what all parts share: one lock, one clock, one source of chance, the list of events. */
final class World implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final long startWallMillis = System.currentTimeMillis();
  private final SplittableRandom random;
  private final List<String> events = new ArrayList<>();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          2,
          work -> {
            Thread thread = new Thread(work, "soak-timer");
            thread.setDaemon(true);
            return thread;
          });

  World(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the time since the start of the play, in milliseconds. */
  long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Returns the Unix time of a time of the play, in milliseconds. */
  long wallMillis(long atMillis) {
    return startWallMillis + atMillis;
  }

  /** Returns a number between two bounds, both included. */
  synchronized int between(int min, int max) {
    return random.nextInt(min, max + 1);
  }

  /** Returns true with a probability. */
  synchronized boolean roll(double probability) {
    return random.nextDouble() < probability;
  }

  /** Carries something out under the lock after a delay in milliseconds. */
  void schedule(long delayMillis, Runnable work) {
    var unused = timer.schedule(() -> run(work), delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Carries something out under the lock again and again, with a pause in milliseconds. */
  void scheduleRepeatedly(long pauseMillis, Runnable work) {
    var unused =
        timer.scheduleWithFixedDelay(
            () -> run(work), pauseMillis, pauseMillis, TimeUnit.MILLISECONDS);
  }

  private synchronized void run(Runnable work) {
    work.run();
  }

  /** Takes note of an event, with its time. */
  synchronized void log(String text) {
    long now = now();
    events.add("%7d ms  %s  %s".formatted(now, Instant.ofEpochMilli(wallMillis(now)), text));
  }

  /** Returns what was taken note of, in order. */
  synchronized List<String> events() {
    return List.copyOf(events);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
