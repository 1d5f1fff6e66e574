package org.hemlockpick.internal.evacuation;

import java.util.HashSet;
import java.util.Set;
import org.hemlockpick.internal.loop.LoopSystem;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.loop.TableNames;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;

/**
 * Polls the evacuations in the table service. While it does not reply, the last known state
 * applies.
 */
final class EvacuationReader implements LoopSystem {
  /** Maximum number of rows per read. */
  static final int PAGE_ROWS = 64;

  private final EvacuationTable table;
  private final StoreCalls store;
  private final Outbox outbox;
  private final long pollMillis;
  private long nextPollAt = Long.MIN_VALUE;
  private boolean pollInFlight;
  private boolean complete;
  private long lastAnswerAt;

  EvacuationReader(EvacuationTable table, StoreCalls store, Outbox outbox, Timing timing) {
    this.table = table;
    this.store = store;
    this.outbox = outbox;
    this.pollMillis = timing.configPoll().toMillis();
    lastAnswerAt = outbox.now();
  }

  /** Returns whether all rows were read from the table service at least once. */
  boolean isComplete() {
    return complete;
  }

  /** Returns the time of the table service's last reply, or of the start, in milliseconds. */
  long lastAnswerAt() {
    return lastAnswerAt;
  }

  @Override
  public void run(long now) {
    if (pollInFlight || now < nextPollAt) {
      return;
    }
    pollInFlight = true;
    nextPollAt = now + pollMillis;
    read("", new Poll(table.zones(), new HashSet<>()));
  }

  /**
   * One pass over all rows.
   *
   * @param known availability zones that had a record when the pass began
   * @param found availability zones with a row
   */
  private record Poll(Set<String> known, Set<String> found) {}

  private void read(String after, Poll poll) {
    RowScan scan =
        RowScan.newBuilder()
            .setTable(TableNames.EVACUATIONS)
            .setAfter(after)
            .setLimit(PAGE_ROWS)
            .build();
    store.scan(scan, reply -> onPage(reply, poll));
  }

  private void onPage(StoreReply reply, Poll poll) {
    if (reply.getStatus() != StoreStatus.STORE_OK) {
      pollInFlight = false;
      return;
    }
    lastAnswerAt = outbox.now();
    for (Row row : reply.getRowsList()) {
      poll.found().add(row.getKey());
      table.learn(row);
    }
    if (reply.getRowsCount() == PAGE_ROWS) {
      read(reply.getRows(PAGE_ROWS - 1).getKey(), poll);
      return;
    }
    poll.known().stream().filter(zone -> !poll.found().contains(zone)).forEach(table::drop);
    complete = true;
    pollInFlight = false;
  }
}
