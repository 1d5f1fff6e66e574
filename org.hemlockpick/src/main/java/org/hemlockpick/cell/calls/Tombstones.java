package org.hemlockpick.cell.calls;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The cancellations whose jobs are not stored, as the holder knows them. Such a tombstone keeps a
 * submission from running that is stored after its cancellation was acknowledged.
 *
 * <p>Times are in milliseconds on the monotonic clock.
 */
public final class Tombstones {
  /**
   * Time after the newest cancellation of a job for which its tombstone is kept. Longer than the
   * latest write of a submission may take: an instance that was suspended for up to {@link
   * SuspensionGuard#MAX_MILLIS} handles a call that was sent before, retries it for seconds, and
   * the table service may apply the write seconds after that.
   */
  public static final long KEPT_MILLIS = 120_000;

  /** Tombstones by job, in the order of the times at which they were seen. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  private record Entry(long version, long seenAt) {}

  /**
   * A tombstone that need not be kept any longer.
   *
   * @param job identifier of the job
   * @param version version of the row
   */
  public record Expired(String job, long version) {}

  /** Returns the number of tombstones. */
  public int size() {
    return entries.size();
  }

  /** Adds a tombstone, which may replace an earlier one of the same job. */
  public void add(String job, long version, long nowMillis) {
    entries.remove(job);
    entries.put(job, new Entry(version, nowMillis));
  }

  /** Removes the tombstone of a job; returns whether there was one. */
  public boolean remove(String job) {
    return entries.remove(job) != null;
  }

  /** Removes a tombstone, unless a later one has replaced it. */
  public void remove(Expired expired) {
    @Nullable Entry entry = entries.get(expired.job());
    if (entry != null && entry.version() == expired.version()) {
      entries.remove(expired.job());
    }
  }

  /** Returns the tombstones that need not be kept any longer, the oldest first. */
  public List<Expired> expired(long nowMillis, int maxCount) {
    List<Expired> expired = new ArrayList<>();
    Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
    while (oldest.hasNext() && expired.size() < maxCount) {
      Map.Entry<String, Entry> next = oldest.next();
      if (nowMillis - next.getValue().seenAt() <= KEPT_MILLIS) {
        break;
      }
      expired.add(new Expired(next.getKey(), next.getValue().version()));
    }
    return expired;
  }
}
