package org.hemlockpick.cell.rows;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Selects the entries of a record that fit into a row. */
public final class BoundedRecords {
  /** Largest size of the fields of a record besides its entries, in bytes. */
  private static final int OTHER_FIELDS_BYTES = 1_024;

  /** Number of the field of the entries, or one whose tag is no longer than this one's. */
  private static final int ENTRIES_FIELD = 1;

  private BoundedRecords() {}

  /**
   * Returns the entries that fit, in their order. An entry that does not fit is left out, and those
   * after it are included as far as they fit.
   *
   * @param rowBytes largest value of a row
   */
  public static <T extends Message> List<T> fitting(List<T> entries, int rowBytes) {
    List<T> included = new ArrayList<>();
    int left = rowBytes - OTHER_FIELDS_BYTES;
    for (T entry : entries) {
      int size = bytes(List.of(entry));
      if (size <= left) {
        included.add(entry);
        left -= size;
      }
    }
    return included;
  }

  /** Returns whether all entries fit. */
  public static boolean fit(Collection<? extends Message> entries, int rowBytes) {
    return bytes(entries) <= rowBytes - OTHER_FIELDS_BYTES;
  }

  /** Returns the size of entries in a record, in bytes. */
  static int bytes(Collection<? extends Message> entries) {
    return entries.stream()
        .mapToInt(entry -> CodedOutputStream.computeMessageSize(ENTRIES_FIELD, entry))
        .sum();
  }
}
