package org.hemlockpick.cell.rows;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hemlockpick.proto.RosterEntry;

/** Selects the entries of a roster so that it fits into its row. */
public final class RosterSelection {
  private RosterSelection() {}

  /**
   * Returns the entries to be written.
   *
   * @param required entries of workers where tasks may run; none is left out. If they do not fit,
   *     some that name the tasks of a silent worker say instead that any task may run there: a
   *     later holder waits for the leases there before it starts a task that it does not find
   * @param optional entries of other workers; those that do not fit are left out
   * @param rowBytes largest value of a row
   */
  public static List<RosterEntry> select(
      List<RosterEntry> required, List<RosterEntry> optional, int rowBytes) {
    List<RosterEntry> selected = new ArrayList<>(required);
    selected.addAll(optional);
    if (BoundedRecords.fit(selected, rowBytes)) {
      return selected;
    }
    List<RosterEntry> shortened = withoutTasks(required, rowBytes);
    int left = rowBytes - BoundedRecords.bytes(shortened);
    shortened.addAll(BoundedRecords.fitting(optional, left));
    return shortened;
  }

  /** Returns the entries without the tasks of those that have the most, so that they fit. */
  private static List<RosterEntry> withoutTasks(List<RosterEntry> entries, int rowBytes) {
    List<RosterEntry> bySize = new ArrayList<>(entries);
    bySize.sort(Comparator.comparingInt(RosterEntry::getSerializedSize).reversed());
    for (int i = 0; i < bySize.size() && !BoundedRecords.fit(bySize, rowBytes); i++) {
      bySize.set(i, bySize.get(i).toBuilder().setSilent(false).clearTasks().build());
    }
    return bySize;
  }
}
