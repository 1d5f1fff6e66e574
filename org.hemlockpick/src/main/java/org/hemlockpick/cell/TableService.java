package org.hemlockpick.cell;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;

/**
 * The platform's table service. Every call gets exactly one result, on the loop's thread; a call is
 * sent at most once.
 */
public interface TableService {
  /** Executes a transaction. */
  void transact(Transaction transaction, long timeoutMillis, Consumer<TransactionResult> handler);

  /** Reads a few small rows of a range of keys. */
  void read(Range range, long timeoutMillis, Consumer<ReadResult> handler);

  /**
   * Reads the rows of a range of keys, which may be large. The call does not delay small ones, and
   * continues for as long as parts of its answer arrive.
   *
   * @param idleTimeoutMillis time without any part of the answer after which the call fails
   */
  void readLarge(Range range, long idleTimeoutMillis, Consumer<ReadResult> handler);

  /**
   * Waits for changes of a table, which may be large. The call does not delay small ones, and
   * continues for as long as parts of its answer arrive.
   *
   * @param afterVersion version after which changes are returned
   * @param waitMillis maximum time that the service waits for a first change
   * @param idleTimeoutMillis time without any part of the answer after which the call fails
   */
  void watch(
      String table,
      long afterVersion,
      long waitMillis,
      long idleTimeoutMillis,
      Consumer<WatchResult> handler);

  /**
   * A range of keys.
   *
   * @param table table
   * @param part part
   * @param fromKey first key; empty for the first one of the part
   * @param toKey first key after the range; empty for no end
   */
  record Range(String table, String part, String fromKey, String toKey) {}

  /** Outcome of a transaction. */
  enum Outcome {
    /** It was applied. */
    COMMITTED,
    /** A condition did not hold; nothing was applied. */
    CONFLICT,
    /** The service has not applied it and will not. */
    NOT_DONE,
    /** The service has not applied it and never will, as it is too large or malformed. */
    REFUSED,
    /** It may have been applied, or may be applied later. */
    UNKNOWN
  }

  /**
   * The result of a transaction.
   *
   * @param outcome what happened to the call
   * @param version version of the written rows; 0 unless committed
   * @param current current rows of the conditions; only for a conflict
   */
  record TransactionResult(Outcome outcome, long version, ImmutableList<StoredRow> current) {}

  /**
   * The result of a read.
   *
   * @param isComplete whether the whole answer arrived; the other fields are empty if not
   * @param rows rows in the order of their keys
   * @param hasMore whether more rows follow in the range
   * @param version version of the service at the time of the read
   */
  record ReadResult(
      boolean isComplete, ImmutableList<StoredRow> rows, boolean hasMore, long version) {}

  /** Outcome of a watch. */
  enum WatchOutcome {
    /** The changes are complete. */
    CHANGES,
    /** The history after the version is no longer kept; the table must be read again. */
    HISTORY_LOST,
    /** The service did not answer. */
    FAILED
  }

  /**
   * The result of a watch.
   *
   * @param outcome what happened to the call
   * @param rows changed rows in the order of their changes; empty if nothing changed in time
   * @param version version to continue from
   */
  record WatchResult(WatchOutcome outcome, ImmutableList<StoredRow> rows, long version) {}
}
