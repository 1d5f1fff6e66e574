package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;

/**
 * The crashes of workers that a task may have caused since it was last found to be sound. Each
 * attempt counts once. The starts of a task that may have caused any are watched.
 */
final class TaskCrashes {
  /** Age up to which a run is young: its start may have caused the crash, in milliseconds. */
  static final long YOUNG_MILLIS = 1_500;

  /** Age from which a run is not blamed for a crash; that of a run of which none is known. */
  static final long UNKNOWN_AGE_MILLIS = 10_000;

  /** Age up to which a run was lost so soon that its start is the likely cause, in milliseconds. */
  private static final long SUDDEN_MILLIS = 250;

  /** Crashes that give a task up in any case; earlier ones are not kept. */
  private static final int DECISIVE = 4;

  /** Crashes that give a task up if the ages at which its runs were lost tell that it is guilty. */
  private static final int DECISIVE_BY_AGE = 3;

  /** Number of workers below which a task is never given up. */
  private static final int MIN_WORKERS = 2;

  /** Number of watched starts that are kept; earlier ones are not. */
  private static final int MAX_STARTS = 4;

  private final List<Crash> crashes = new ArrayList<>(0);

  /** Watched starts of which it is not known how they ended. */
  private final List<WatchedStart> starts = new ArrayList<>(0);

  /**
   * Whether one more crash may be its doing: one that fell into a change of holders, or for which
   * others were blamed.
   */
  private boolean doubted;

  /**
   * A crash of a worker that a run may have caused.
   *
   * @param attempt number of the attempt
   * @param worker worker that crashed
   * @param ageMillis longest time for which the run can have been there
   * @param telling whether the run may have been young, and its worker was not one of several lost
   *     at the same time, whose cause may be another
   */
  record Crash(int attempt, String worker, long ageMillis, boolean telling) {
    private boolean isSudden() {
      return ageMillis <= SUDDEN_MILLIS;
    }
  }

  /** Returns the crashes that count. */
  List<Crash> all() {
    return crashes;
  }

  boolean isEmpty() {
    return crashes.isEmpty();
  }

  /** Counts a crash, unless its attempt counts already; returns whether it is new. */
  boolean add(Crash crash) {
    starts.removeIf(start -> start.attempt() == crash.attempt());
    if (contains(crash.attempt())) {
      return false;
    }
    if (crashes.size() == DECISIVE) {
      crashes.remove(0);
    }
    return crashes.add(crash);
  }

  private boolean contains(int attempt) {
    return crashes.stream().anyMatch(crash -> crash.attempt() == attempt);
  }

  /** Forgets the crashes, as the task was found to be sound. */
  void clear() {
    crashes.clear();
    starts.clear();
    doubted = false;
  }

  /** Returns whether its starts have to be stored before their orders, until it is cleared. */
  boolean isWatched() {
    return doubted || hasNotes();
  }

  /** Returns whether crashes or watched starts are known. */
  boolean hasNotes() {
    return !crashes.isEmpty() || !starts.isEmpty();
  }

  /** Returns the watched starts of which it is not known how they ended. */
  List<WatchedStart> starts() {
    return starts;
  }

  /** Adds a watched start, unless its attempt counts as a crash already. */
  void watch(WatchedStart start) {
    starts.removeIf(other -> other.attempt() == start.attempt());
    if (contains(start.attempt())) {
      return;
    }
    if (starts.size() == MAX_STARTS) {
      starts.remove(0);
    }
    starts.add(start);
  }

  /** Forgets a watched start, as it is known how it ended; returns whether there was one. */
  boolean unwatch(int attempt) {
    return starts.removeIf(start -> start.attempt() == attempt);
  }

  /** Returns whether one more crash, for which it was not blamed, may be its doing. */
  boolean isDoubted() {
    return doubted;
  }

  void setDoubted() {
    doubted = true;
  }

  /** Returns whether the task is likely enough to crash workers to be treated with caution. */
  boolean isSuspect() {
    if (crashes.size() != 1) {
      return !crashes.isEmpty();
    }
    return crashes.get(0).telling();
  }

  /**
   * Returns the age at which a run of the task shows that it is sound, in milliseconds: well above
   * the ages at which its runs were lost.
   */
  long soundAfterMillis() {
    return Math.max(2 * oldest(), doubted ? UNKNOWN_AGE_MILLIS : 0) + YOUNG_MILLIS;
  }

  /**
   * Returns whether the task is to be given up.
   *
   * @param isAlone whether only its run is likely to have caused the last crash
   */
  boolean areDecisive(boolean isAlone) {
    if (crashes.stream().map(Crash::worker).distinct().count() < MIN_WORKERS) {
      return false;
    }
    if (crashes.size() + (doubted ? 1 : 0) >= DECISIVE) {
      return true;
    }
    boolean areSudden = crashes.stream().allMatch(Crash::isSudden);
    if (crashes.size() == DECISIVE_BY_AGE) {
      return areSudden || (isAlone && haveSimilarAges());
    }
    return areSudden && isAlone && crashes.stream().allMatch(Crash::telling);
  }

  /** Returns whether all ages are known and similar. */
  private boolean haveSimilarAges() {
    long youngest = crashes.stream().mapToLong(Crash::ageMillis).min().orElse(0);
    return oldest() < UNKNOWN_AGE_MILLIS && oldest() <= youngest * 3 / 2 + SUDDEN_MILLIS;
  }

  private long oldest() {
    return crashes.stream().mapToLong(Crash::ageMillis).max().orElse(0);
  }
}
