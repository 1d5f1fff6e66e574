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
  private int stops;
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
    take(answers, action);
  }

  /** Tells after a delay in milliseconds that no answer came. */
  void timeout(long delay, Runnable action) {
    time.after(delay, () -> take(timeouts, action));
  }

  private void take(List<Runnable> held, Runnable action) {
    if (closed) {
      return;
    }
    if (stops > 0) {
      held.add(action);
      return;
    }
    action.run();
  }

  /** Lets what becomes due lie until as many calls of {@link #wake}. */
  void stop() {
    stops++;
  }

  /** Hands over what lies, unless another stop lasts. */
  void wake() {
    stops--;
    if (stops > 0 || closed) {
      return;
    }
    List<Runnable> due = new ArrayList<>(answers);
    due.addAll(timeouts);
    answers = new ArrayList<>();
    timeouts = new ArrayList<>();
    due.forEach(Runnable::run);
  }

  /** Tells whether the process stands still. */
  boolean isStopped() {
    return stops > 0;
  }

  /** Drops what lies and what comes: the process has ended. */
  void close() {
    closed = true;
  }
}
