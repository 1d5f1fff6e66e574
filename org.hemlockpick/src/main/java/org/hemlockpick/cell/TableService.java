package org.hemlockpick.cell;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;

/**
 * The platform's table service. Every call gets exactly one result, on the loop's thread; a call is
 * sent at most once.
 */
public interface TableService {
  /** Carries out a transaction. */
  void transact(Transaction transaction, long timeoutMillis, Consumer<TransactionResult> handler);

  /** Reads a few small rows of a range of keys. */
  void read(Range range, long timeoutMillis, Consumer<ReadResult> handler);

  /**
   * Reads rows of a range of keys that may be large. The call keeps no small one waiting, and goes
   * on for as long as its answer keeps coming.
   *
   * @param idleTimeoutMillis time without any part of the answer after which the call has failed
   */
  void readLarge(Range range, long idleTimeoutMillis, Consumer<ReadResult> handler);

  /**
   * Waits for changes of a table, which may be large. The call keeps no small one waiting, and goes
   * on for as long as its answer keeps coming.
   *
   * @param afterVersion version after which changes are asked for
   * @param waitMillis longest wait of the service for a first change
   * @param idleTimeoutMillis time without any part of the answer after which the call has failed
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
   * @param fromKey first key; empty for the first one there is
   * @param toKey first key behind the range; empty for no end
   */
  record Range(String table, String part, String fromKey, String toKey) {}

  /** What became of a transaction. */
  enum Outcome {
    /** It was applied. */
    COMMITTED,
    /** A condition did not hold; nothing was applied. */
    CONFLICT,
    /** The service did nothing and will do nothing. */
    NOT_DONE,
    /** The service did nothing and never will do this: it is too large or malformed. */
    REFUSED,
    /** It may have been applied, or may be applied later. */
    UNKNOWN
  }

  /**
   * The result of a transaction.
   *
   * @param outcome what became of it
   * @param version version of the written rows; 0 unless committed
   * @param current rows of the conditions as they are; only for a conflict
   */
  record TransactionResult(Outcome outcome, long version, ImmutableList<StoredRow> current) {}

  /**
   * The result of a read.
   *
   * @param isComplete whether the service answered; the other fields are empty if not
   * @param rows rows in the order of their keys
   * @param hasMore whether rows were left out at the end
   * @param version version of the service at the time of the read
   */
  record ReadResult(
      boolean isComplete, ImmutableList<StoredRow> rows, boolean hasMore, long version) {}

  /** What became of a watch. */
  enum WatchOutcome {
    /** The changes are whole. */
    CHANGES,
    /** The history after the version is gone; the table must be read again. */
    HISTORY_LOST,
    /** The service did not answer. */
    FAILED
  }

  /**
   * The result of a watch.
   *
   * @param outcome what became of it
   * @param rows changed rows in the order of their changes; empty if nothing changed in time
   * @param version version to go on from
   */
  record WatchResult(WatchOutcome outcome, ImmutableList<StoredRow> rows, long version) {}
}
