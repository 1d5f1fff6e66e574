package org.hemlockpick.cell.rows;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hemlockpick.proto.RosterEntry;
import org.hemlockpick.proto.RosterRecord;
import org.junit.jupiter.api.Test;

/** Tests which workers a roster names that does not fit into its row. */
class RosterSelectionTest {
  private static final int ROW_BYTES = RowLimits.DEFAULT_ROW_BYTES;

  /** Number of workers of the largest cell. */
  private static final int LARGEST = 1_500;

  private static RosterEntry entry(int number) {
    return RosterEntry.newBuilder()
        .setWorker(String.format("i-%010x", number))
        .setBornMillis(1_796_650_000_000L + number)
        .setAddress("10.101." + number / 250 + "." + number % 250 + ":8080")
        .build();
  }

  private static RosterEntry silent(int number, int tasks) {
    RosterEntry.Builder entry = entry(number).toBuilder().setSilent(true);
    for (int i = 0; i < tasks; i++) {
      entry.addTasks("0123456789abcdef.0.0." + i);
    }
    return entry.build();
  }

  private static List<RosterEntry> entries(int from, int to) {
    List<RosterEntry> entries = new ArrayList<>();
    for (int i = from; i < to; i++) {
      entries.add(entry(i));
    }
    return entries;
  }

  private static int size(List<RosterEntry> entries) {
    return RosterRecord.newBuilder().addAllWorkers(entries).build().getSerializedSize();
  }

  @Test
  void rosterOfTheLargestCellIsWhole() {
    List<RosterEntry> optional = entries(0, LARGEST);
    assertEquals(optional, RosterSelection.select(List.of(), optional, ROW_BYTES));
  }

  /** Guards against a roster that is refused as many workers with many tasks are silent. */
  @Test
  void silentWorkersAreNamedWithoutTheirTasks() {
    List<RosterEntry> required = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      required.add(silent(i, 30));
    }
    List<RosterEntry> selected = RosterSelection.select(required, entries(300, LARGEST), ROW_BYTES);
    assertTrue(size(selected) <= ROW_BYTES, () -> size(selected) + " bytes");
    assertEquals(ids(required), ids(selected.subList(0, required.size())));
    // Without its tasks a worker must not count as silent: any task may run there.
    selected.forEach(entry -> assertEquals(entry.getSilent(), entry.getTasksCount() > 0));
  }

  /** Guards against workers with tasks that a later holder does not hear of. */
  @Test
  void workersWithoutTasksAreLeftOutFirst() {
    List<RosterEntry> required = entries(0, 1_000);
    List<RosterEntry> optional = entries(1_000, 3_000);
    List<RosterEntry> selected = RosterSelection.select(required, optional, ROW_BYTES);
    assertTrue(size(selected) <= ROW_BYTES, () -> size(selected) + " bytes");
    assertTrue(selected.size() > LARGEST, () -> selected.size() + " workers");
    assertTrue(ids(selected).containsAll(ids(required)));
  }

  private static Set<String> ids(List<RosterEntry> entries) {
    Set<String> ids = new HashSet<>();
    entries.forEach(entry -> ids.add(entry.getWorker()));
    return ids;
  }
}
