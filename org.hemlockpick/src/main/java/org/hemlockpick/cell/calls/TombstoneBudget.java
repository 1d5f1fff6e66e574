package org.hemlockpick.cell.calls;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Limits the tombstones that an entry instance writes. A caller who cancels jobs that were never
 * submitted leaves a row for each. So the number of tombstones within the time for which they are
 * kept is limited, and a caller gets no more than a part of what is left (a dynamic threshold): a
 * single one gets a fifth of all, and twenty that take what they can leave some to another one.
 *
 * <p>Times are in milliseconds on the monotonic clock.
 */
public final class TombstoneBudget {
  /** Maximum number of tombstones of an instance at a time. */
  static final int MAX_TOMBSTONES = 2_048;

  /** A caller may have at most this part of the number that is left. */
  private static final int SHARE_DIVISOR = 4;

  /** Tombstones by job, in the order of their times. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  private final Multiset<String> callers = HashMultiset.create();

  private record Entry(String caller, long writtenAt) {}

  /**
   * Reserves a tombstone. One that the job has already is kept for longer, whoever asked for it.
   *
   * @param job identifier of the job
   * @param caller who cancels it
   * @return whether the tombstone may be written
   */
  public boolean reserve(String job, String caller, long nowMillis) {
    removeExpired(nowMillis);
    if (!entries.containsKey(job) && !hasShareLeft(caller)) {
      return false;
    }
    release(job);
    entries.put(job, new Entry(caller, nowMillis));
    callers.add(caller);
    return true;
  }

  private boolean hasShareLeft(String caller) {
    int left = MAX_TOMBSTONES - entries.size();
    return left > 0 && callers.count(caller) <= left / SHARE_DIVISOR;
  }

  /** Gives a tombstone back that was not written, as the job is stored. */
  public void release(String job) {
    @Nullable Entry entry = entries.remove(job);
    if (entry != null) {
      callers.remove(entry.caller());
    }
  }

  private void removeExpired(long nowMillis) {
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (nowMillis - entry.writtenAt() <= Tombstones.KEPT_MILLIS) {
        return;
      }
      oldest.remove();
      callers.remove(entry.caller());
    }
  }
}
