package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;

/**
 * The crashes of workers that a task may have caused since it was last found to be sound. Each
 * attempt counts once.
 */
final class TaskCrashes {
  /** Age up to which a run is young: its start may have caused the crash, in milliseconds. */
  static final long YOUNG_MILLIS = 1_500;

  /** Age up to which a run was lost so soon that its start is the likely cause, in milliseconds. */
  private static final long SUDDEN_MILLIS = 250;

  /** Crashes that give a task up in any case; earlier ones are not kept. */
  private static final int DECISIVE = 4;

  /** Crashes that give a task up if the ages at which its runs were lost tell that it is guilty. */
  private static final int DECISIVE_BY_AGE = 3;

  /** Number of workers below which a task is never given up. */
  private static final int MIN_WORKERS = 2;

  private final List<Crash> crashes = new ArrayList<>(0);

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
    return 2 * oldest() + YOUNG_MILLIS;
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
    boolean areSudden = crashes.stream().allMatch(Crash::isSudden);
    return switch (crashes.size()) {
      case DECISIVE -> true;
      case DECISIVE_BY_AGE -> areSudden || (isAlone && haveSimilarAges());
      default -> areSudden && isAlone && crashes.stream().allMatch(Crash::telling);
    };
  }

  private boolean haveSimilarAges() {
    long youngest = crashes.stream().mapToLong(Crash::ageMillis).min().orElse(0);
    return oldest() <= youngest * 3 / 2 + SUDDEN_MILLIS;
  }

  private long oldest() {
    return crashes.stream().mapToLong(Crash::ageMillis).max().orElse(0);
  }
}
