package org.hemlockpick.fakes;

import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/** Runs actions in order of virtual time; actions at the same time run in scheduling order. */
public final class VirtualTime implements InstantSource {
  private record Scheduled(long at, long order, Runnable action) {}

  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.at() == b.at() ? Long.compare(a.order(), b.order()) : Long.compare(a.at(), b.at()));
  private long now;
  private long lastOrder;

  /**
   * Creates a virtual clock.
   *
   * @param start initial time in milliseconds
   */
  public VirtualTime(long start) {
    now = start;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(now);
  }

  @Override
  public long millis() {
    return now;
  }

  /** Schedules an action after a delay in milliseconds. */
  public void after(long delay, Runnable action) {
    queue.add(new Scheduled(now + Math.max(0, delay), ++lastOrder, action));
  }

  /** Runs all actions up to and including a time, which becomes the current time. */
  public void runUntil(long time) {
    while (!queue.isEmpty() && queue.peek().at() <= time) {
      Scheduled next = queue.poll();
      now = next.at();
      next.action().run();
    }
    now = time;
  }

  /** Runs all actions of the next given milliseconds. */
  public void runFor(long millis) {
    runUntil(now + millis);
  }
}
