package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.fakes.VirtualTime;

/**
 * Hands answers and timeouts to one process. What becomes due while the process stands still is
 * handed over when it wakes: the answers first, then the timeouts, both in the order of time.
 */
final class Inbox {
  private final VirtualTime time;
  private List<Runnable> answers = new ArrayList<>();
  private List<Runnable> timeouts = new ArrayList<>();
  private int pauses;
  private boolean closed;

  Inbox(VirtualTime time) {
    this.time = time;
  }

  /** Hands an answer over after a delay in milliseconds. */
  void answer(long delay, Runnable action) {
    time.after(delay, () -> answer(action));
  }

  /** Hands an answer over that is here. */
  void answer(Runnable action) {
    deliver(answers, action);
  }

  /** Tells after a delay in milliseconds that no answer came. */
  void timeout(long delay, Runnable action) {
    time.after(delay, () -> deliver(timeouts, action));
  }

  private void deliver(List<Runnable> pending, Runnable action) {
    if (closed) {
      return;
    }
    if (pauses > 0) {
      pending.add(action);
      return;
    }
    action.run();
  }

  /** Lets what becomes due lie until as many calls of {@link #resume}. */
  void pause() {
    pauses++;
  }

  /** Hands over what lies, unless another stop lasts. */
  void resume() {
    pauses--;
    if (pauses > 0 || closed) {
      return;
    }
    List<Runnable> due = new ArrayList<>(answers);
    due.addAll(timeouts);
    answers = new ArrayList<>();
    timeouts = new ArrayList<>();
    due.forEach(Runnable::run);
  }

  /** Tells whether the process stands still. */
  boolean isPaused() {
    return pauses > 0;
  }

  /** Drops what lies and what comes: the process has ended. */
  void close() {
    closed = true;
  }
}
