package org.hemlockpick.cell.evacuation;

import com.google.common.collect.ImmutableSet;
import java.util.function.Consumer;
import org.hemlockpick.cell.ConfigurationSource;
import org.hemlockpick.cell.LoopClock;
import org.hemlockpick.cell.StoredRow;
import org.hemlockpick.cell.TableService;
import org.hemlockpick.cell.TableService.Range;
import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.evacuation.EvacuationReading.Moment;

/**
 * Polls the operator's requests to evacuate availability zones with plain reads: a watch can go
 * silent or lose its history without an error.
 */
final class EvacuationReader {
  private static final long READ_INTERVAL_MILLIS = 500;
  private static final long READ_TIMEOUT_MILLIS = 1_000;

  /** Delay before reading again after a failure, in milliseconds. */
  private static final long RETRY_MILLIS = 100;

  /** Suffix that turns a key into the smallest key after it. */
  private static final String KEY_SUCCESSOR = "\u0000";

  private final TableService store;
  private final String table;
  private final String prefix;
  private final String endKey;
  private final LoopClock clock;
  private final Consumer<EvacuationReading> handler;

  /** Number of times at which a new reading was required. */
  private int requirements;

  private int requirementsWhenRead;
  private boolean reading;
  private long nextReadAt = Long.MIN_VALUE;

  /**
   * Creates a reader that has read nothing.
   *
   * @param handler receives each complete reading
   */
  EvacuationReader(
      TableService store,
      ConfigurationSource source,
      LoopClock clock,
      Consumer<EvacuationReading> handler) {
    this.store = store;
    this.table = source.operatorTable();
    this.prefix = source.evacuationKeyPrefix();
    int last = prefix.length() - 1;
    this.endKey = prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    this.clock = clock;
    this.handler = handler;
  }

  /** Requires a new reading: one that is in flight does not count. */
  void requireRead() {
    requirements++;
    nextReadAt = Long.MIN_VALUE;
  }

  void run() {
    Moment now = Moment.now(clock);
    if (reading || now.monotonicMillis() < nextReadAt) {
      return;
    }
    reading = true;
    requirementsWhenRead = requirements;
    nextReadAt = now.monotonicMillis() + READ_INTERVAL_MILLIS;
    readFrom(prefix, now, ImmutableSet.builder());
  }

  private void readFrom(String key, Moment requested, ImmutableSet.Builder<String> zones) {
    store.read(
        new Range(table, "", key, endKey),
        READ_TIMEOUT_MILLIS,
        page -> onPage(page, requested, zones));
  }

  private void onPage(ReadResult page, Moment requested, ImmutableSet.Builder<String> zones) {
    if (!page.isComplete()) {
      reading = false;
      nextReadAt = Math.max(nextReadAt, clock.monotonicMillis() + RETRY_MILLIS);
      return;
    }
    String lastKey = "";
    for (StoredRow row : page.rows()) {
      lastKey = row.key();
      zones.add(lastKey.substring(prefix.length()));
    }
    if (page.hasMore() && !lastKey.isEmpty()) {
      readFrom(lastKey + KEY_SUCCESSOR, requested, zones);
      return;
    }
    reading = false;
    if (requirementsWhenRead == requirements) {
      handler.accept(new EvacuationReading(zones.build(), requested));
    }
  }
}
