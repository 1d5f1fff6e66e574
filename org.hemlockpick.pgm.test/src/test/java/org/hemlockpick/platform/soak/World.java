package org.hemlockpick.platform.soak;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** State that all parts of the soak test share: a lock, a clock, a random source, an event log. */
public final class World implements AutoCloseable {
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

  public World(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the time since the start of the run, in milliseconds. */
  long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Converts a time since the start of the run to Unix time, in milliseconds. */
  long wallMillis(long atMillis) {
    return startWallMillis + atMillis;
  }

  /** Returns a random number between two bounds, both inclusive. */
  synchronized int between(int min, int max) {
    return random.nextInt(min, max + 1);
  }

  /** Returns true with the given probability. */
  synchronized boolean roll(double probability) {
    return random.nextDouble() < probability;
  }

  /** Runs work under the lock after a delay in milliseconds. */
  void schedule(long delayMillis, Runnable work) {
    var unused = timer.schedule(() -> run(work), delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs work repeatedly under the lock, with a fixed delay in milliseconds. */
  void scheduleRepeatedly(long pauseMillis, Runnable work) {
    var unused =
        timer.scheduleWithFixedDelay(
            () -> run(work), pauseMillis, pauseMillis, TimeUnit.MILLISECONDS);
  }

  private synchronized void run(Runnable work) {
    work.run();
  }

  /** Records an event with its time. */
  synchronized void log(String text) {
    long now = now();
    events.add("%7d ms  %s  %s".formatted(now, Instant.ofEpochMilli(wallMillis(now)), text));
  }

  /** Returns the recorded events, in order. */
  synchronized List<String> events() {
    return List.copyOf(events);
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
