package org.hemlockpick.cell;

import java.util.List;
import java.util.TreeSet;

/**
 * The failed attempts of a task. Each counts once, in whatever order they are reported. Only the
 * numbers of the newest ones are kept; every attempt below them counts as failed.
 */
final class FailedAttempts {
  /**
   * Maximum number of attempts kept; if a queue allows more failures, the older ones are only
   * counted.
   */
  static final int MAX_KEPT = 100;

  /**
   * Maximum number of attempts kept for a long-running task, which may fail any number of times.
   */
  static final int MAX_KEPT_OF_LONG_RUNNING = 8;

  private final int maxKept;
  private final TreeSet<Integer> kept = new TreeSet<>();
  private int count;

  /** Every attempt up to this number counts. */
  private int floor;

  FailedAttempts(boolean longRunning) {
    maxKept = longRunning ? MAX_KEPT_OF_LONG_RUNNING : MAX_KEPT;
  }

  /** Returns how many attempts have failed. */
  int count() {
    return count;
  }

  /** Returns the number of the newest failed attempt; 0 if none is known. */
  int newest() {
    return kept.isEmpty() ? 0 : kept.last();
  }

  /** Returns whether an attempt counts already. */
  boolean contains(int attempt) {
    return attempt <= floor || kept.contains(attempt);
  }

  /** Counts an attempt that does not count yet. */
  void add(int attempt) {
    count++;
    keep(attempt);
  }

  private void keep(int attempt) {
    kept.add(attempt);
    if (kept.size() > maxKept) {
      kept.pollFirst();
      floor = kept.first();
    }
  }

  /** Returns the kept attempts except the newest, each as its distance from the newest. */
  List<Integer> olderDistances() {
    return kept.headSet(newest()).stream().map(attempt -> newest() - attempt).toList();
  }

  /**
   * Restores the stored attempts.
   *
   * @param failures number of failed attempts
   * @param newest number of the newest of them; 0 if it was not stored
   * @param olderDistances earlier ones that were stored, each as its distance from the newest
   */
  void restore(int failures, int newest, List<Integer> olderDistances) {
    count = failures;
    if (newest == 0) {
      return;
    }
    keep(newest);
    olderDistances.forEach(distance -> keep(newest - distance));
    if (failures > kept.size()) {
      floor = kept.first();
    }
  }
}
