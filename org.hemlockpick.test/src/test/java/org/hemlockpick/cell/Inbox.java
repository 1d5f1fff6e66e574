package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.fakes.VirtualTime;

/**
 * Delivers replies and timeouts to one process. What becomes due while the process is paused is
 * delivered when it resumes: the replies first, then the timeouts, both in the order of time.
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

  /** Delivers a reply after a delay in milliseconds. */
  void answer(long delay, Runnable action) {
    time.after(delay, () -> answer(action));
  }

  /** Delivers a reply that has arrived. */
  void answer(Runnable action) {
    deliver(answers, action);
  }

  /** Reports a timeout after a delay in milliseconds. */
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

  /** Holds back what becomes due until {@link #resume} has been called as often as this method. */
  void pause() {
    pauses++;
  }

  /** Delivers what is held back, unless another pause lasts. */
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

  /** Returns whether the process is paused. */
  boolean isPaused() {
    return pauses > 0;
  }

  /** Drops what is held back and all that comes later: the process has ended. */
  void close() {
    closed = true;
  }
}
