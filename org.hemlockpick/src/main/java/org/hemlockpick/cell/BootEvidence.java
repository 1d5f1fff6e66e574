package org.hemlockpick.cell;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tells the boots of a worker apart. When a boot started is a time of day, which may jump: it
 * identifies the boot and orders nothing. The boots of a worker follow each other, so an answer to
 * a call that was sent after the known boot had started is of that boot or of a later one. Times
 * are in milliseconds on the monotonic clock.
 */
final class BootEvidence {
  /** Precedes every other time; the time elapsed since then does not overflow. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Number of ended boots that are remembered; an entry of an older one is doubted anew. */
  private static final int MAX_ENDED = 8;

  /** Minimum time in which a worker can stop and restart, in milliseconds. */
  private static final long MIN_RESTART_MILLIS = 700;

  /** Time by which the known boot had started. */
  private long startedBy = NEVER;

  /** Boot of an entry that is in doubt; 0 if none is. */
  private long doubted;

  private long doubtedSince;

  /** Boots that certainly precede the known one, the newest first. */
  private final Deque<Long> ended = new ArrayDeque<>();

  /** Records that another boot is the known one, which had started by now. */
  void setKnown(long nowMillis) {
    startedBy = nowMillis;
    doubted = 0;
  }

  /** Returns whether the answer to a call can only be of the known boot or of a later one. */
  boolean isConclusive(long sentAtMillis) {
    return sentAtMillis > startedBy;
  }

  /** Records that a boot has ended: its entry may still be listed, or may be listed late. */
  void addEnded(long bootTimeMillis) {
    ended.remove(bootTimeMillis);
    ended.addFirst(bootTimeMillis);
    if (ended.size() > MAX_ENDED) {
      ended.removeLast();
    }
  }

  /** Returns whether a boot certainly precedes the known one. */
  boolean hasEnded(long bootTimeMillis) {
    return ended.contains(bootTimeMillis);
  }

  /**
   * Doubts that the known boot is still up, as an entry of another one was read: that may be the
   * next boot, or the entry of an earlier one that was written late.
   *
   * @return whether the doubt is new
   */
  boolean doubt(long bootTimeMillis, long nowMillis) {
    boolean isNew = doubted != bootTimeMillis;
    if (isNew) {
      doubted = bootTimeMillis;
      doubtedSince = nowMillis;
    }
    return isNew;
  }

  /** Returns whether the next answer is awaited to tell which boot is up. */
  boolean isInDoubt() {
    return doubted != 0;
  }

  /**
   * Records an answer of the known boot. If the call was sent after the entry of another boot was
   * read, that boot has ended.
   */
  void onConfirmed(long sentAtMillis) {
    if (isInDoubt() && sentAtMillis > doubtedSince) {
      addEnded(doubted);
      doubted = 0;
    }
  }

  /**
   * Returns the number up to which a worker may forget its completions; 0 after a failed call, in
   * doubt, or if the last answer is so old that the worker may have restarted since and numbers its
   * completions from 1 again.
   */
  long completionToAcknowledge(Worker worker, long nowMillis) {
    boolean isRecent = nowMillis - worker.lastAnswerSentAt() < MIN_RESTART_MILLIS;
    boolean sameBoot = !worker.isUnresponsive() && !isInDoubt() && isRecent;
    return sameBoot ? worker.completions().recorded() : 0;
  }
}
