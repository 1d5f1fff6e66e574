package org.hemlockpick.daemon.admission;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The open connections of callers. Beyond the limit, the one that has been idle for longest is
 * closed for a new one, else the one whose request has been incomplete for longest, else the new
 * one. May be used on any thread; times are in milliseconds.
 */
final class ConnectionTable {
  private final int limit;
  private final Set<Entry> entries = new HashSet<>();

  ConnectionTable(int limit) {
    this.limit = limit;
  }

  /** Adds a connection; closes another one or the new one if there are too many. */
  void add(Entry entry) {
    Entry victim = addAndChoose(entry);
    if (victim != null) {
      victim.close.run();
    }
  }

  private synchronized @Nullable Entry addAndChoose(Entry entry) {
    if (entries.size() < limit) {
      entries.add(entry);
      return null;
    }
    Entry victim = victim().orElse(entry);
    if (victim != entry) {
      entries.remove(victim);
      entries.add(entry);
    }
    return victim;
  }

  private Optional<Entry> victim() {
    return entries.stream()
        .filter(entry -> rank(entry.phase) < Integer.MAX_VALUE)
        .min(
            Comparator.<Entry>comparingInt(entry -> rank(entry.phase))
                .thenComparingLong(entry -> entry.sinceMillis));
  }

  private static int rank(Phase phase) {
    if (phase == Phase.IDLE) {
      return 0;
    }
    return phase.isIncomplete() ? 1 : Integer.MAX_VALUE;
  }

  synchronized void remove(Entry entry) {
    entries.remove(entry);
  }

  synchronized int size() {
    return entries.size();
  }

  /** One connection. Its phase is set on its own event loop. */
  static final class Entry {
    private final Runnable close;
    private volatile Phase phase = Phase.IDLE;
    private volatile long sinceMillis;

    /**
     * Creates an entry for an idle connection.
     *
     * @param close closes the connection; called on any thread
     */
    Entry(long nowMillis, Runnable close) {
      this.sinceMillis = nowMillis;
      this.close = close;
    }

    Phase phase() {
      return phase;
    }

    long sinceMillis() {
      return sinceMillis;
    }

    void enter(Phase next, long nowMillis) {
      sinceMillis = nowMillis;
      phase = next;
    }
  }
}
