package org.hemlockpick.cell.evacuation;

import com.google.common.collect.ImmutableSet;
import org.hemlockpick.cell.LoopClock;

/**
 * A complete reading of the operator's requests.
 *
 * @param zones evacuated zones
 * @param requested time at which it was requested; it shows every request confirmed before
 */
record EvacuationReading(ImmutableSet<String> zones, Moment requested) {

  /**
   * A time on both clocks.
   *
   * @param monotonicMillis time on the monotonic clock in milliseconds
   * @param wallMillis wall clock time in milliseconds
   */
  record Moment(long monotonicMillis, long wallMillis) {
    static Moment now(LoopClock clock) {
      return new Moment(clock.monotonicMillis(), clock.wallMillis());
    }

    /** Returns by how much the clocks have diverged since an earlier moment, in milliseconds. */
    long divergenceSince(Moment earlier) {
      return Math.abs(
          (wallMillis - monotonicMillis) - earlier.wallMillis + earlier.monotonicMillis);
    }
  }
}
