package org.hemlockpick.cell.calls;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The calls of callers that are tried again after a pause, the same for all of them.
 *
 * <p>Times are in milliseconds on the monotonic clock.
 */
public final class CallRetries {
  /** Pause before a retry. */
  public static final long PAUSE_MILLIS = 60;

  private final Deque<Retry> retries = new ArrayDeque<>();

  private record Retry(long dueAt, Runnable call) {}

  /** Schedules a call to be tried again after the pause. */
  public void add(long nowMillis, Runnable call) {
    retries.add(new Retry(nowMillis + PAUSE_MILLIS, call));
  }

  /** Tries the calls that are due. */
  public void run(long nowMillis) {
    List<Runnable> due = new ArrayList<>();
    while (!retries.isEmpty() && retries.element().dueAt() <= nowMillis) {
      due.add(retries.remove().call());
    }
    due.forEach(Runnable::run);
  }
}
