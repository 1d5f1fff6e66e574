package org.hemlockpick.cell;

import java.util.random.RandomGenerator;
import org.hemlockpick.cell.TableService.Range;
import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.TableService.WatchResult;
import org.hemlockpick.util.Backoff;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the configuration up to date: reads it once, then watches for changes. A watch returns
 * every version since the last one. Therefore, changes that are large or follow each other closely
 * are followed by plain reads with pauses in between, until a read finds nothing new.
 */
final class ConfigurationWatcher {
  /** Time that the service waits for a change; short, as the connection may go silent meanwhile. */
  private static final long WATCH_WAIT_MILLIS = 1_000;

  private static final long WATCH_IDLE_TIMEOUT_MILLIS = WATCH_WAIT_MILLIS + 500;
  private static final long MIN_RETRY_MILLIS = 150;
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** Consecutive failed watches after which the row is read, as only watches may be failing. */
  private static final int MAX_FAILED_WATCHES = 2;

  /** Size from which a version is too large to be sent several times in one answer. */
  private static final int LARGE_BYTES = 65_536;

  /** Time between two changes below which they count as a series. */
  private static final long MAX_SERIES_GAP_MILLIS = 2_000;

  /**
   * Mean pause before another read: short enough that a change that a long read has just missed is
   * still in force within a few seconds.
   */
  private static final long REREAD_PAUSE_MILLIS = 600;

  private final TableService store;
  private final ConfigurationSource source;
  private final LoopClock clock;
  private final DecisionLog log;
  private final RandomGenerator random;
  private final Backoff backoff;

  private boolean inFlight;
  private boolean watching;
  private int failedWatches;
  private long nextAt;
  private long fromVersion;
  private long changedAt = Long.MIN_VALUE / 2;
  private @Nullable Configuration current;

  ConfigurationWatcher(
      TableService store,
      ConfigurationSource source,
      LoopClock clock,
      DecisionLog log,
      RandomGenerator random) {
    this.store = store;
    this.source = source;
    this.clock = clock;
    this.log = log;
    this.random = random;
    this.backoff = new Backoff(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  /** Returns the configuration in force; null until one was read. */
  @Nullable Configuration current() {
    return current;
  }

  void run() {
    if (inFlight || clock.monotonicMillis() < nextAt) {
      return;
    }
    inFlight = true;
    if (watching) {
      store.watch(
          source.operatorTable(),
          fromVersion,
          WATCH_WAIT_MILLIS,
          WATCH_IDLE_TIMEOUT_MILLIS,
          this::onChanges);
      return;
    }
    String key = source.configurationKey();
    store.readLarge(
        new Range(source.operatorTable(), "", key, key + "~"),
        CellTiming.STORE_TIMEOUT_MILLIS,
        this::onRead);
  }

  private void onRead(ReadResult result) {
    inFlight = false;
    if (!result.isComplete()) {
      nextAt = clock.monotonicMillis() + backoff.next();
      return;
    }
    onAnswer(result.version());
    boolean isFirst = current == null;
    boolean changed = applyAll(result.rows());
    if (changed && (!isFirst || isLarge(result.rows()))) {
      readAfterPause();
      return;
    }
    watching = true;
  }

  private void onChanges(WatchResult result) {
    inFlight = false;
    switch (result.outcome()) {
      case CHANGES -> applyChanges(result);
      case HISTORY_LOST -> watching = false;
      case FAILED -> {
        failedWatches++;
        watching = failedWatches < MAX_FAILED_WATCHES;
        nextAt = clock.monotonicMillis() + backoff.next();
      }
    }
  }

  private void applyChanges(WatchResult result) {
    onAnswer(Math.max(fromVersion, result.version()));
    long lastChangeAt = changedAt;
    if (!applyAll(result.rows())) {
      return;
    }
    boolean isSeries = changedAt - lastChangeAt < MAX_SERIES_GAP_MILLIS;
    if (isSeries || isLarge(result.rows())) {
      readAfterPause();
    }
  }

  private void onAnswer(long version) {
    fromVersion = version;
    failedWatches = 0;
    backoff.reset();
  }

  /** Schedules a read after a random pause, so that instances do not all read at the same time. */
  private void readAfterPause() {
    watching = false;
    nextAt =
        clock.monotonicMillis() + REREAD_PAUSE_MILLIS / 2 + random.nextLong(REREAD_PAUSE_MILLIS);
  }

  private static boolean isLarge(Iterable<StoredRow> rows) {
    long bytes = 0;
    for (StoredRow row : rows) {
      bytes += row.value().size();
    }
    return bytes >= LARGE_BYTES;
  }

  /** Applies rows; returns whether one of them has changed the configuration in force. */
  private boolean applyAll(Iterable<StoredRow> rows) {
    boolean changed = false;
    for (StoredRow row : rows) {
      changed |= apply(row);
    }
    if (changed) {
      changedAt = clock.monotonicMillis();
    }
    return changed;
  }

  /** Applies a row; returns whether it has changed the configuration in force. */
  private boolean apply(StoredRow row) {
    if (!row.key().equals(source.configurationKey()) || row.removed()) {
      return false;
    }
    Configuration newest = source.configuration(row.value()).orElse(null);
    if (newest == null) {
      log.decided("configuration", row.key(), "ignored", "unreadable, row " + row.version());
      return false;
    }
    Configuration known = current;
    if (known != null && newest.version() <= known.version()) {
      return false;
    }
    current = newest;
    log.decided(
        "configuration",
        "v" + newest.version(),
        "in force",
        newest.queues().size() + " queues, row " + row.version());
    return true;
  }
}
