package org.hemlockpick.cell.rows;

/** What the table service takes in a row and in a transaction. */
public final class RowLimits {
  /** Largest value of a row where the platform names none, in bytes. */
  public static final int DEFAULT_ROW_BYTES = 65_536;

  /** Smallest limit of a row in which every row has a form that fits, in bytes. */
  public static final int MIN_ROW_BYTES = 4_096;

  /**
   * Largest limit of a row that is used, in bytes: a transaction has room for it, and for others.
   */
  public static final int MAX_ROW_BYTES = 131_072;

  /** Maximum number of entries of a transaction: conditions, writes and removals. */
  public static final int MAX_ENTRIES = 100;

  /** Largest body of a transaction, in bytes. */
  public static final int MAX_TRANSACTION_BYTES = 1_000_000;

  private RowLimits() {}
}
