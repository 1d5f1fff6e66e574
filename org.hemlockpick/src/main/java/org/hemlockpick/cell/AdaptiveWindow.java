package org.hemlockpick.cell;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;

/**
 * A window that adapts to the answers that arrive in time: it grows while it is full and most
 * answers are prompt, and is halved when most are late or missing. A few missing answers do not
 * shrink it, as the workers that were called may be gone.
 */
final class AdaptiveWindow implements CallWindow {
  private static final int INITIAL_SIZE = 16;
  private static final int MIN_SIZE = 8;
  private static final int MAX_SIZE = 1_024;

  /** Growth for each window of answers once the window has been halved. */
  private static final int GROWTH_STEP = 8;

  /** Share of prompt answers needed for the window to grow. */
  private static final double PROMPT_SHARE = 0.75;

  /**
   * Time within which an answer is prompt, in milliseconds: with a larger window it would still
   * arrive in time.
   */
  private static final long PROMPT_MILLIS = 150;

  /** Time after which an answer is late, in milliseconds. */
  private static final long LATE_AFTER_MILLIS = 300;

  /** Time by which answers may be reordered, in milliseconds. */
  private static final long REORDERING_MILLIS = 100;

  /** Calls in flight, by identity: two calls with the same times are distinct. */
  private final Set<Call> inFlight = Collections.newSetFromMap(new IdentityHashMap<>());

  private int size = INITIAL_SIZE;
  private boolean isHalved;
  private boolean wasFull;
  private int ended;
  private int prompt;
  private int late;

  /** Calls sent up to then say nothing about the present size. */
  private long halvedAt = Long.MIN_VALUE;

  /** Latest due time of a call that has been answered. */
  private long lastAnsweredDueAt = Long.MIN_VALUE;

  /** Time at which the awaited calls were counted. */
  private long countedAt = Long.MIN_VALUE;

  private int awaited;

  @Override
  public boolean isOpen(long nowMillis) {
    if (countedAt != nowMillis) {
      countAwaited(nowMillis);
      countedAt = nowMillis;
    }
    boolean isOpen = awaited < size;
    wasFull |= !isOpen;
    return isOpen;
  }

  private void countAwaited(long nowMillis) {
    awaited = 0;
    for (Call call : inFlight) {
      awaited += isAwaited(call, nowMillis) ? 1 : 0;
    }
  }

  /**
   * Returns whether a call occupies the window. One that later calls have overtaken is a call to a
   * worker that is gone, and does not.
   */
  private boolean isAwaited(Call call, long nowMillis) {
    return nowMillis >= call.dueAt() && call.dueAt() + REORDERING_MILLIS > lastAnsweredDueAt;
  }

  @Override
  public Call begin(long nowMillis, long waitMillis, boolean isProbe) {
    Call call = new Call(nowMillis, nowMillis + waitMillis, isProbe);
    inFlight.add(call);
    awaited += isAwaited(call, nowMillis) ? 1 : 0;
    return call;
  }

  @Override
  public void end(Call call, boolean isAnswered, long nowMillis) {
    inFlight.remove(call);
    countedAt = Long.MIN_VALUE;
    if (isAnswered && nowMillis >= call.dueAt()) {
      lastAnsweredDueAt = Math.max(lastAnsweredDueAt, call.dueAt());
    }
    if (call.isProbe() || call.sentAt() <= halvedAt) {
      return;
    }
    long taken = nowMillis - call.dueAt();
    ended++;
    prompt += taken <= PROMPT_MILLIS ? 1 : 0;
    late += taken > LATE_AFTER_MILLIS ? 1 : 0;
    if (ended >= size) {
      adapt(nowMillis);
    }
  }

  private void adapt(long nowMillis) {
    if (2 * late > ended) {
      size = Math.max(MIN_SIZE, size / 2);
      isHalved = true;
      halvedAt = nowMillis;
    } else if (wasFull && prompt >= PROMPT_SHARE * ended) {
      size = Math.min(MAX_SIZE, isHalved ? size + GROWTH_STEP : 2 * size);
    }
    wasFull = false;
    ended = 0;
    prompt = 0;
    late = 0;
  }
}
