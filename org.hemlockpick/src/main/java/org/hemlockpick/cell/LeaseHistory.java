package org.hemlockpick.cell;

import java.util.Map;
import java.util.TreeMap;

/** The times at which versions of the row of a cell's lease were seen first. */
final class LeaseHistory {
  /** Most versions that are kept, the newest ones. */
  private static final int MAX_VERSIONS = 64;

  private final TreeMap<Long, Long> firstSeenAt = new TreeMap<>();

  /** Takes note of a version that was read. */
  void recordVersion(long version, long nowMillis) {
    firstSeenAt.putIfAbsent(version, nowMillis);
    if (firstSeenAt.size() > MAX_VERSIONS) {
      firstSeenAt.pollFirstEntry();
    }
  }

  /**
   * Returns a time on the steady clock at which a version had certainly been written.
   *
   * @param upperBound what is returned if neither it nor a later one was seen
   */
  long latestWriteTime(long version, long upperBound) {
    Map.Entry<Long, Long> seen = version <= 0 ? null : firstSeenAt.ceilingEntry(version);
    return seen == null ? upperBound : Math.min(upperBound, seen.getValue());
  }
}
