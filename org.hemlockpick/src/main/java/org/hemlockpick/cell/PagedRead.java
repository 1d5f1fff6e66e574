package org.hemlockpick.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hemlockpick.cell.TableService.Range;
import org.hemlockpick.cell.TableService.ReadResult;
import org.jspecify.annotations.Nullable;

/** Reads a range of rows to its end, page by page. */
final class PagedRead {
  /** Suffix that turns a key into the smallest key after it. */
  private static final String KEY_SUCCESSOR = "\u0000";

  private final TableService store;
  private final Range range;
  private final Consumer<@Nullable Rows> handler;
  private final List<StoredRow> rows = new ArrayList<>();
  private long version = -1;

  /**
   * Rows of a range. Pages after the first may be newer than the version.
   *
   * @param version version of the service when the first page was read
   * @param rows rows in the order of their keys
   */
  record Rows(long version, List<StoredRow> rows) {}

  private PagedRead(TableService store, Range range, Consumer<@Nullable Rows> handler) {
    this.store = store;
    this.range = range;
    this.handler = handler;
  }

  /**
   * Starts a read.
   *
   * @param handler receives all rows once, or null if a page could not be read
   */
  static void start(TableService store, Range range, Consumer<@Nullable Rows> handler) {
    new PagedRead(store, range, handler).readFrom(range.fromKey());
  }

  private void readFrom(String key) {
    Range rest = new Range(range.table(), range.part(), key, range.toKey());
    store.readLarge(rest, CellTiming.STORE_TIMEOUT_MILLIS, this::onPage);
  }

  private void onPage(ReadResult page) {
    if (!page.isComplete()) {
      handler.accept(null);
      return;
    }
    version = version < 0 ? page.version() : version;
    rows.addAll(page.rows());
    if (page.hasMore() && !page.rows().isEmpty()) {
      readFrom(rows.get(rows.size() - 1).key() + KEY_SUCCESSOR);
      return;
    }
    handler.accept(new Rows(version, rows));
  }
}
