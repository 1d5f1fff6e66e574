package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;

/**
 * A window that follows what comes back in time: it grows while it is full and most answers come
 * soon, and is halved when most of them are late or missing. A few that are missing do not make it
 * smaller, as those who were called may be gone.
 */
final class AdaptiveWindow implements CallWindow {
  private static final int FIRST_SIZE = 16;
  private static final int LEAST_SIZE = 8;
  private static final int MOST_SIZE = 1_024;

  /** Growth with each window of answers, once the window has been halved. */
  private static final int STEP = 8;

  /** Share of the answers that have to come soon for the window to grow. */
  private static final double SOON_SHARE = 0.75;

  /** Time within which an answer comes soon: a larger window would still get it in time. */
  private static final long SOON_MILLIS = 150;

  /** Time after which an answer is late. */
  private static final long LATE_MILLIS = 300;

  /** Time by which answers may overtake each other. */
  private static final long SPREAD_MILLIS = 100;

  private final List<Call> open = new ArrayList<>();
  private int size = FIRST_SIZE;
  private boolean isHalved;
  private boolean wasFull;
  private int ended;
  private int soon;
  private int late;

  /** Calls that were sent up to then tell nothing of the present size. */
  private long halvedAt = Long.MIN_VALUE;

  /** The latest time from which an answer was awaited that has come. */
  private long answeredUntil = Long.MIN_VALUE;

  /** Time at which the awaited calls were counted. */
  private long countedAt = Long.MIN_VALUE;

  private int awaited;

  @Override
  public boolean isOpen(long nowMillis) {
    if (countedAt != nowMillis) {
      count(nowMillis);
      countedAt = nowMillis;
    }
    boolean isOpen = awaited < size;
    wasFull |= !isOpen;
    return isOpen;
  }

  private void count(long nowMillis) {
    awaited = 0;
    for (Call call : open) {
      awaited += isAwaited(call, nowMillis) ? 1 : 0;
    }
  }

  /** A call that later ones have overtaken is one to somebody who is gone: it takes up no room. */
  private boolean isAwaited(Call call, long nowMillis) {
    return nowMillis >= call.dueAt() && call.dueAt() + SPREAD_MILLIS > answeredUntil;
  }

  @Override
  public Call begin(long nowMillis, long waitMillis, boolean isTrial) {
    Call call = new Call(nowMillis, nowMillis + waitMillis, isTrial);
    open.add(call);
    awaited += isAwaited(call, nowMillis) ? 1 : 0;
    return call;
  }

  @Override
  public void end(Call call, boolean isAnswered, long nowMillis) {
    open.remove(call);
    countedAt = Long.MIN_VALUE;
    if (isAnswered && nowMillis >= call.dueAt()) {
      answeredUntil = Math.max(answeredUntil, call.dueAt());
    }
    if (call.isTrial() || call.sentAt() <= halvedAt) {
      return;
    }
    long taken = nowMillis - call.dueAt();
    ended++;
    soon += taken <= SOON_MILLIS ? 1 : 0;
    late += taken > LATE_MILLIS ? 1 : 0;
    if (ended >= size) {
      adapt(nowMillis);
    }
  }

  private void adapt(long nowMillis) {
    if (2 * late > ended) {
      size = Math.max(LEAST_SIZE, size / 2);
      isHalved = true;
      halvedAt = nowMillis;
    } else if (wasFull && soon >= SOON_SHARE * ended) {
      size = Math.min(MOST_SIZE, isHalved ? size + STEP : 2 * size);
    }
    wasFull = false;
    ended = 0;
    soon = 0;
    late = 0;
  }
}
