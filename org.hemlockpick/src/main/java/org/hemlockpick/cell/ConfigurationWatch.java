package org.hemlockpick.cell;

import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.TableService.WatchResult;
import org.jspecify.annotations.Nullable;

/** Keeps the configuration in force: reads it once, then waits for changes. */
final class ConfigurationWatch {
  /** Wait of the service for a change; short, as a connection may go silent meanwhile. */
  private static final long WAIT_MILLIS = 1_000;

  private static final long WATCH_TIMEOUT_MILLIS = WAIT_MILLIS + 500;
  private static final long RETRY_MILLIS = 150;

  private final TableService store;
  private final ConfigurationSource source;
  private final LoopClock clock;
  private final DecisionLog log;

  private boolean underWay;
  private boolean isRead;
  private long nextAt;
  private long fromVersion;
  private @Nullable Configuration current;

  ConfigurationWatch(
      TableService store, ConfigurationSource source, LoopClock clock, DecisionLog log) {
    this.store = store;
    this.source = source;
    this.clock = clock;
    this.log = log;
  }

  /** Returns the configuration in force; null until one was read. */
  @Nullable Configuration current() {
    return current;
  }

  void run() {
    if (underWay || clock.monotonicMillis() < nextAt) {
      return;
    }
    underWay = true;
    if (isRead) {
      store.watch(
          source.operatorTable(), fromVersion, WAIT_MILLIS, WATCH_TIMEOUT_MILLIS, this::onChanges);
      return;
    }
    String key = source.configurationKey();
    store.read(
        new TableService.Range(source.operatorTable(), "", key, key + "~"),
        CellTiming.STORE_TIMEOUT,
        this::onRead);
  }

  private void onRead(ReadResult result) {
    underWay = false;
    if (!result.isWhole()) {
      nextAt = clock.monotonicMillis() + RETRY_MILLIS;
      return;
    }
    isRead = true;
    fromVersion = result.version();
    result.rows().forEach(this::take);
  }

  private void onChanges(WatchResult result) {
    underWay = false;
    switch (result.outcome()) {
      case CHANGES -> {
        fromVersion = Math.max(fromVersion, result.version());
        result.rows().forEach(this::take);
      }
      case HISTORY_LOST -> isRead = false;
      case FAILED -> {
        // The row itself is read next, in case the way to the history is what fails.
        isRead = false;
        nextAt = clock.monotonicMillis() + RETRY_MILLIS;
      }
    }
  }

  private void take(StoredRow row) {
    if (!row.key().equals(source.configurationKey()) || row.removed()) {
      return;
    }
    Configuration newest = source.configuration(row.value()).orElse(null);
    if (newest == null) {
      log.decided("configuration", row.key(), "ignored", "unreadable, row " + row.version());
      return;
    }
    Configuration known = current;
    if (known != null && newest.version() <= known.version()) {
      return;
    }
    current = newest;
    log.decided(
        "configuration",
        "v" + newest.version(),
        "in force",
        newest.queues().size() + " queues, row " + row.version());
  }
}
