package org.hemlockpick.cell;

import java.util.Map;
import java.util.TreeMap;

/** Records when versions of the row of a cell's lease were first seen. */
final class LeaseHistory {
  /** Maximum number of versions that are kept; these are the newest ones. */
  private static final int MAX_VERSIONS = 64;

  private final TreeMap<Long, Long> firstSeenAt = new TreeMap<>();

  /** Records a version that was read. */
  void recordVersion(long version, long nowMillis) {
    firstSeenAt.putIfAbsent(version, nowMillis);
    if (firstSeenAt.size() > MAX_VERSIONS) {
      firstSeenAt.pollFirstEntry();
    }
  }

  /**
   * Returns a time on the monotonic clock by which a version had been written.
   *
   * @param upperBound largest possible result, returned if neither the version nor a later one was
   *     seen
   */
  long latestWriteTime(long version, long upperBound) {
    Map.Entry<Long, Long> seen = version <= 0 ? null : firstSeenAt.ceilingEntry(version);
    return seen == null ? upperBound : Math.min(upperBound, seen.getValue());
  }
}
