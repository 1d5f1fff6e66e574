package org.hemlockpick.cell;

import java.util.Map;
import java.util.TreeMap;

/** The times at which versions of the row of a cell's lease were seen first. */
final class LeaseHistory {
  /** Most versions that are kept, the newest ones. */
  private static final int MOST_KEPT = 64;

  private final TreeMap<Long, Long> seenAt = new TreeMap<>();

  /** Takes note of a version that was read. */
  void see(long version, long nowMillis) {
    seenAt.putIfAbsent(version, nowMillis);
    if (seenAt.size() > MOST_KEPT) {
      seenAt.pollFirstEntry();
    }
  }

  /**
   * Returns a time on the steady clock at which a version had certainly been written.
   *
   * @param latest what is returned if neither it nor a later one was seen
   */
  long writtenBy(long version, long latest) {
    Map.Entry<Long, Long> seen = version <= 0 ? null : seenAt.ceilingEntry(version);
    return seen == null ? latest : Math.min(latest, seen.getValue());
  }
}
