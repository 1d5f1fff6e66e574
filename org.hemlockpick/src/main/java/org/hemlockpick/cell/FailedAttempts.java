package org.hemlockpick.cell;

import java.util.List;
import java.util.TreeSet;

/**
 * The failed attempts of a task, of which each counts once, in whatever order they are heard. Only
 * the newest ones are kept by their numbers; every attempt below these counts.
 */
final class FailedAttempts {
  /** Most attempts that are kept; a queue that allows more failures counts the older ones only. */
  static final int MAX_KEPT = 100;

  /** Most attempts that are kept of a task that lasts, which may fail any number of times. */
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

  /** Returns the number of the newest attempt that counts; 0 if none is known. */
  int newest() {
    return kept.isEmpty() ? 0 : kept.last();
  }

  /** Tells whether an attempt counts already. */
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

  /** Returns the kept attempts but the newest, each by its distance from the newest. */
  List<Integer> olderDistances() {
    return kept.headSet(newest()).stream().map(attempt -> newest() - attempt).toList();
  }

  /**
   * Takes over what was stored.
   *
   * @param failures number of attempts that failed
   * @param newest number of the newest of them; 0 if it was not stored
   * @param olderDistances those before it that were stored, each by its distance from the newest
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
