package org.hemlockpick.cell;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.proto.CellRecord;
import org.junit.jupiter.api.Test;

/** Tests which replies of the table service confirm the lease after a renewal was required. */
class CellJournalTest {
  private static final long VERSION = 7;

  /** Interval at which another job is refused, shorter than the pause of a refused one. */
  private static final long OTHER_REFUSAL_MILLIS = 5_000;

  private static final long MAX_RETRY_MILLIS = 60_000;

  private final Queue<Consumer<TransactionResult>> inFlight = new ArrayDeque<>();
  private final List<Transaction> sent = new ArrayList<>();
  private long now = 1_000;

  private final CellJournal journal =
      new CellJournal(
          new CellSettings("n0", "n0:1", "i1", "c0", 5_000, 200, 120_000),
          new DeferredTableService(),
          new ManualClock(),
          VERSION,
          now,
          CellRecord::getDefaultInstance,
          (kind, subject, outcome, reason) -> {},
          new RecordedMetrics(),
          new IgnoringJournalListener());

  /** The machine was suspended, and its monotonic clock does not show for how long. */
  @Test
  void renewalSentBeforeItWasRequiredAllowsNoOrders() {
    now += CellTiming.RENEWAL_INTERVAL_MILLIS;
    journal.run();
    journal.requireRenewal();
    answer(Outcome.COMMITTED);
    assertFalse(journal.allowsOrders(now));
  }

  @Test
  void renewalSentAfterItWasRequiredAllowsOrders() {
    journal.requireRenewal();
    journal.run();
    answer(Outcome.COMMITTED);
    assertTrue(journal.allowsOrders(now));
  }

  /** Guards against a refused job that is never sent again as others are refused meanwhile. */
  @Test
  void refusedJobIsSentAgainThoughAnotherIsRefusedTimeAndAgain() {
    Job first = job("a");
    Job second = job("b");
    refuse(first);
    sent.clear();
    long refusedAt = now;
    while (now < refusedAt + MAX_RETRY_MILLIS && !wasSent("a")) {
      sent.clear();
      now += OTHER_REFUSAL_MILLIS;
      refuse(second);
    }
    assertTrue(wasSent("a"), () -> "not within " + (now - refusedAt) + " ms");
  }

  private static Job job(String id) {
    return new Job(CellWorld.job(id, 0, CellWorld.step(1)), 0, false);
  }

  /** Has the progress of a job refused, alone and with others. */
  private void refuse(Job job) {
    journal.markDirty(job);
    journal.run();
    while (!inFlight.isEmpty()) {
      answer(sent.get(sent.size() - 1).writes().size() > 1 ? Outcome.REFUSED : Outcome.COMMITTED);
      journal.run();
    }
  }

  private boolean wasSent(String job) {
    return sent.stream()
        .flatMap(transaction -> transaction.writes().stream())
        .anyMatch(write -> write.row().equals(JobRows.progress(job)));
  }

  private void answer(Outcome outcome) {
    inFlight.remove().accept(new TransactionResult(outcome, VERSION + 1, ImmutableList.of()));
  }

  /** Clock whose time the test sets. */
  private final class ManualClock implements LoopClock {
    @Override
    public long monotonicMillis() {
      return now;
    }

    @Override
    public long wallMillis() {
      return now;
    }
  }

  /** Leaves transactions in flight until the test answers them. */
  private final class DeferredTableService implements TableService {
    @Override
    public void transact(
        Transaction transaction, long timeoutMillis, Consumer<TransactionResult> handler) {
      inFlight.add(handler);
      sent.add(transaction);
    }

    @Override
    public void read(Range range, long timeoutMillis, Consumer<ReadResult> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void readLarge(Range range, long idleTimeoutMillis, Consumer<ReadResult> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void watch(
        String table,
        long afterVersion,
        long waitMillis,
        long idleTimeoutMillis,
        Consumer<WatchResult> handler) {
      throw new UnsupportedOperationException();
    }
  }
}
