package org.hemlockpick.cell;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.TableService.WatchOutcome;
import org.hemlockpick.cell.TableService.WatchResult;
import org.hemlockpick.fakes.VirtualTime;
import org.jspecify.annotations.Nullable;

/**
 * A linearizable table service in memory, with one version counter and a history of changes for
 * watches.
 */
final class FakeStore {
  /** Largest number of entries of a transaction. */
  private static final int MAX_ENTRIES = 100;

  /** Largest size of the values of a transaction as base64, in bytes. */
  private static final int MAX_TRANSACTION_BYTES = 1_000_000;

  /** Time until an answer, if the service is not slow, in milliseconds. */
  static final long LATENCY_MILLIS = 4;

  private static final int PAGE = 7;

  /** Bytes of a reply besides the values of its rows. */
  private static final long ENVELOPE_BYTES = 300;

  /** A part refuses transactions when the queue before them takes longer than this. */
  private static final long MAX_QUEUE_MILLIS = 1_000;

  private record Name(String table, String part, String key) implements Comparable<Name> {
    @Override
    public int compareTo(Name other) {
      int tables = table.compareTo(other.table);
      int parts = tables != 0 ? tables : part.compareTo(other.part);
      return parts != 0 ? parts : key.compareTo(other.key);
    }
  }

  private record Row(ByteString value, long version) {}

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Map<Name, Row> rows = new TreeMap<>();
  private final List<StoredRow> history = new ArrayList<>();
  private long historyFrom;
  private long version;

  /** Probability that a transaction is applied and not answered. */
  double lossProbability;

  /** Ranges that were read. */
  final Set<TableService.Range> rangesRead = new HashSet<>();

  /** Longest delay of a transaction that is not answered, in milliseconds. */
  long maxDelayMillis;

  /** Time after which transactions are applied, without an answer; 0 for the usual time. */
  long lateMillis;

  /** Largest value of a row, in bytes. */
  int maxRowBytes = 65_536;

  /** Number of transactions that were refused for their size. */
  int oversizedWrites;

  /** Job whose progress is refused for good; empty for none. */
  String refusedProgress = "";

  /** Whether no call is answered. */
  boolean unresponsive;

  /** Whether watches hear of no change. */
  boolean watchesSilent;

  /** Time until an answer in milliseconds. */
  long latencyMillis = LATENCY_MILLIS;

  /** Time that a part takes for each transaction, one after another, in milliseconds. */
  long transactionMillis;

  /** Times at which the parts have carried out the transactions queued so far. */
  private final Map<String, Long> busyUntil = new HashMap<>();

  FakeStore(VirtualTime time, long seed) {
    this.time = time;
    this.random = new SplittableRandom(seed);
  }

  /** Writes a row as the operator or a worker does. */
  void put(String table, String key, ByteString value) {
    write(new Name(table, "", key), value, ++version);
  }

  /** Returns the value of a row of the platform; empty if there is none. */
  Optional<ByteString> platformValue(String table, String key) {
    return Optional.ofNullable(rows.get(new Name(table, "", key))).map(Row::value);
  }

  /** Returns the value of a row of the cell; empty if there is none. */
  Optional<ByteString> value(String table, String key) {
    return Optional.ofNullable(rows.get(new Name(table, "c0", key))).map(Row::value);
  }

  void remove(String table, String key) {
    version++;
    remove(new Name(table, "", key));
  }

  /** Discards the history of changes so far. */
  void forgetHistory() {
    history.clear();
    historyFrom = version;
  }

  /** Returns the connection of a process that is never paused. */
  View view() {
    return new View(new Inbox(time));
  }

  /** Returns the connection of one process of an entry instance. */
  View view(Inbox inbox) {
    return new View(inbox);
  }

  private void write(Name name, ByteString value, long at) {
    rows.put(name, new Row(value, at));
    history.add(new StoredRow(name.table(), name.part(), name.key(), value, at, false));
  }

  private TransactionResult apply(Transaction transaction) {
    ImmutableList.Builder<StoredRow> current = ImmutableList.builder();
    boolean holds = true;
    for (Transaction.Condition condition : transaction.conditions()) {
      Name name = name(transaction, condition.row());
      Row row = rows.get(name);
      holds &= condition.version() == (row == null ? 0 : row.version());
      if (row != null) {
        current.add(stored(name, row));
      }
    }
    if (!holds) {
      return new TransactionResult(Outcome.CONFLICT, 0, current.build());
    }
    version++;
    transaction.writes().forEach(w -> write(name(transaction, w.row()), w.value(), version));
    transaction.removals().forEach(row -> remove(name(transaction, row)));
    return new TransactionResult(Outcome.COMMITTED, version, ImmutableList.of());
  }

  private void remove(Name name) {
    if (rows.remove(name) != null) {
      history.add(
          new StoredRow(name.table(), name.part(), name.key(), ByteString.EMPTY, version, true));
    }
  }

  private static Name name(Transaction transaction, Transaction.RowName row) {
    return new Name(row.table(), transaction.part(), row.key());
  }

  private static StoredRow stored(Name name, Row row) {
    return new StoredRow(name.table(), name.part(), name.key(), row.value(), row.version(), false);
  }

  private ReadResult read(TableService.Range range) {
    ImmutableList.Builder<StoredRow> found = ImmutableList.builder();
    int count = 0;
    for (Map.Entry<Name, Row> entry : rows.entrySet()) {
      Name name = entry.getKey();
      boolean inside =
          name.table().equals(range.table())
              && name.part().equals(range.part())
              && name.key().compareTo(range.fromKey()) >= 0
              && (range.toKey().isEmpty() || name.key().compareTo(range.toKey()) < 0);
      if (inside && count++ < PAGE) {
        found.add(stored(name, entry.getValue()));
      }
    }
    return new ReadResult(true, found.build(), count > PAGE, version);
  }

  /**
   * Returns the changes of a table after a version. The history is in the order of versions, so
   * that the newest changes are at its end.
   */
  private ImmutableList<StoredRow> changes(String table, long after) {
    int first = history.size();
    while (first > 0 && history.get(first - 1).version() > after) {
      first--;
    }
    return history.subList(first, history.size()).stream()
        .filter(row -> row.table().equals(table))
        .collect(ImmutableList.toImmutableList());
  }

  /** The connection from one process of an entry instance to the service. */
  final class View implements TableService {
    private final Inbox inbox;

    /** Sends the calls, or holds them back before they are sent. */
    final Outbox outbox = new Outbox();

    /** Whether no call of this process arrives. */
    boolean disconnected;

    /** Whether the service turns away the calls of this process at once. */
    boolean turnsAway;

    /** Whether transactions of this process are applied and not answered. */
    boolean repliesLost;

    /** Action that runs once, between the next commit of this process and its answer. */
    private @Nullable Runnable afterCommit;

    /** Table that this process cannot read; empty for none. */
    String unreadableTable = "";

    /** The link that carries replies to reads and watches; null for unlimited bandwidth. */
    @Nullable SharedLink link;

    View(Inbox inbox) {
      this.inbox = inbox;
    }

    /** Runs an action once, between the next commit of this process and its answer. */
    void afterNextCommit(Runnable action) {
      afterCommit = action;
    }

    private void onApplied(TransactionResult result) {
      Runnable action = afterCommit;
      if (action != null && result.outcome() == Outcome.COMMITTED) {
        afterCommit = null;
        action.run();
      }
    }

    private boolean isUnreachable() {
      return disconnected || unresponsive;
    }

    @Override
    public void transact(
        Transaction transaction, long timeoutMillis, Consumer<TransactionResult> handler) {
      if (isRefused(transaction)) {
        TransactionResult refused = new TransactionResult(Outcome.REFUSED, 0, ImmutableList.of());
        inbox.answer(latencyMillis, () -> handler.accept(refused));
        return;
      }
      outbox.send(() -> sendTransaction(transaction, timeoutMillis, handler));
    }

    private boolean isRefused(Transaction transaction) {
      if (isTooLarge(transaction) && !isUnreachable()) {
        oversizedWrites++;
        return true;
      }
      return !isUnreachable() && transaction.writes().stream().anyMatch(w -> isRefused(w.row()));
    }

    private boolean isRefused(Transaction.RowName row) {
      return row.equals(JobRows.progress(refusedProgress))
          || (row.table().equals("progress") && row.key().startsWith(refusedProgress + "/"));
    }

    private boolean isTooLarge(Transaction transaction) {
      int entries =
          transaction.conditions().size()
              + transaction.writes().size()
              + transaction.removals().size();
      long bytes =
          transaction.writes().stream().mapToLong(w -> (w.value().size() + 2) / 3 * 4L).sum();
      return entries > MAX_ENTRIES
          || bytes > MAX_TRANSACTION_BYTES
          || transaction.writes().stream().anyMatch(w -> w.value().size() > maxRowBytes);
    }

    private void sendTransaction(
        Transaction transaction, long timeoutMillis, Consumer<TransactionResult> handler) {
      TransactionResult unknown = new TransactionResult(Outcome.UNKNOWN, 0, ImmutableList.of());
      if (isUnreachable()) {
        inbox.timeout(timeoutMillis, () -> handler.accept(unknown));
      } else if (turnsAway) {
        TransactionResult none = new TransactionResult(Outcome.NOT_DONE, 0, ImmutableList.of());
        inbox.answer(latencyMillis, () -> handler.accept(none));
      } else if (lateMillis > 0) {
        time.after(lateMillis, () -> apply(transaction));
        inbox.timeout(timeoutMillis, () -> handler.accept(unknown));
      } else if (repliesLost) {
        time.after(latencyMillis, () -> apply(transaction));
        inbox.timeout(timeoutMillis, () -> handler.accept(unknown));
      } else if (random.nextDouble() < lossProbability) {
        time.after(random.nextLong(maxDelayMillis + 1), () -> apply(transaction));
        inbox.timeout(timeoutMillis, () -> handler.accept(unknown));
      } else {
        enqueue(transaction, timeoutMillis, handler);
      }
    }

    private void enqueue(
        Transaction transaction, long timeoutMillis, Consumer<TransactionResult> handler) {
      long now = time.millis();
      long begin = Math.max(now, busyUntil.getOrDefault(transaction.part(), 0L));
      if (begin - now > MAX_QUEUE_MILLIS) {
        TransactionResult refused = new TransactionResult(Outcome.NOT_DONE, 0, ImmutableList.of());
        inbox.answer(latencyMillis, () -> handler.accept(refused));
        return;
      }
      long end = begin + transactionMillis;
      busyUntil.put(transaction.part(), end);
      long taken = end - now + latencyMillis;
      time.after(
          taken,
          () -> {
            TransactionResult result = apply(transaction);
            onApplied(result);
            if (taken < timeoutMillis) {
              inbox.answer(1, () -> handler.accept(result));
            }
          });
      if (taken >= timeoutMillis) {
        TransactionResult unknown = new TransactionResult(Outcome.UNKNOWN, 0, ImmutableList.of());
        inbox.timeout(timeoutMillis, () -> handler.accept(unknown));
      }
    }

    @Override
    public void read(Range range, long timeoutMillis, Consumer<ReadResult> handler) {
      rangesRead.add(range);
      outbox.send(() -> sendRead(range, timeoutMillis, false, handler));
    }

    @Override
    public void readLarge(Range range, long idleTimeoutMillis, Consumer<ReadResult> handler) {
      outbox.send(() -> sendRead(range, idleTimeoutMillis, true, handler));
    }

    private void sendRead(
        Range range, long timeoutMillis, boolean isLarge, Consumer<ReadResult> handler) {
      if (isUnreachable() || range.table().equals(unreadableTable)) {
        ReadResult none = new ReadResult(false, ImmutableList.of(), false, 0);
        inbox.timeout(timeoutMillis, () -> handler.accept(none));
        return;
      }
      if (turnsAway) {
        ReadResult none = new ReadResult(false, ImmutableList.of(), false, 0);
        inbox.answer(latencyMillis, () -> handler.accept(none));
        return;
      }
      Reply reply =
          new Reply(
              timeoutMillis,
              isLarge,
              () -> handler.accept(new ReadResult(false, ImmutableList.of(), false, 0)));
      time.after(
          latencyMillis,
          () -> {
            ReadResult result = FakeStore.this.read(range);
            reply.send(bytes(result.rows()), () -> handler.accept(result));
          });
    }

    @Override
    public void watch(
        String table,
        long afterVersion,
        long waitMillis,
        long idleTimeoutMillis,
        Consumer<WatchResult> handler) {
      outbox.send(() -> sendWatch(table, afterVersion, waitMillis, idleTimeoutMillis, handler));
    }

    private void sendWatch(
        String table,
        long afterVersion,
        long waitMillis,
        long idleTimeoutMillis,
        Consumer<WatchResult> handler) {
      if (isUnreachable()) {
        WatchResult none = new WatchResult(WatchOutcome.FAILED, ImmutableList.of(), 0);
        inbox.timeout(idleTimeoutMillis, () -> handler.accept(none));
        return;
      }
      if (turnsAway) {
        WatchResult none = new WatchResult(WatchOutcome.FAILED, ImmutableList.of(), 0);
        inbox.answer(latencyMillis, () -> handler.accept(none));
        return;
      }
      Reply reply =
          new Reply(
              idleTimeoutMillis,
              true,
              () -> handler.accept(new WatchResult(WatchOutcome.FAILED, ImmutableList.of(), 0)));
      long until = time.millis() + latencyMillis + waitMillis;
      time.after(latencyMillis, () -> poll(table, afterVersion, until, reply, handler));
    }

    private void poll(
        String table, long afterVersion, long until, Reply reply, Consumer<WatchResult> handler) {
      if (reply.isEnded()) {
        return;
      }
      if (afterVersion < historyFrom) {
        WatchResult gone = new WatchResult(WatchOutcome.HISTORY_LOST, ImmutableList.of(), 0);
        reply.send(ENVELOPE_BYTES, () -> handler.accept(gone));
        return;
      }
      ImmutableList<StoredRow> changes =
          watchesSilent ? ImmutableList.of() : changes(table, afterVersion);
      if (!changes.isEmpty() || time.millis() >= until) {
        long upTo = watchesSilent ? afterVersion : version;
        WatchResult result = new WatchResult(WatchOutcome.CHANGES, changes, upTo);
        reply.send(bytes(changes), () -> handler.accept(result));
        return;
      }
      time.after(latencyMillis, () -> poll(table, afterVersion, until, reply, handler));
    }

    private static long bytes(List<StoredRow> found) {
      return found.stream().mapToLong(row -> ENVELOPE_BYTES + row.value().size()).sum()
          + ENVELOPE_BYTES;
    }

    /**
     * The reply to one call. With a link it is carried over the link, and delivered only within its
     * timeout.
     */
    private final class Reply {
      private final long timeoutMillis;
      private final boolean isLarge;
      private final Runnable onTimeout;
      private SharedLink.@Nullable Transfer transfer;
      private boolean ended;

      /** Creates the reply; the timeout of a large one restarts with each of its packets. */
      Reply(long timeoutMillis, boolean isLarge, Runnable onTimeout) {
        this.timeoutMillis = timeoutMillis;
        this.isLarge = isLarge;
        this.onTimeout = onTimeout;
        if (link != null) {
          time.after(timeoutMillis, this::checkTimeout);
        }
      }

      boolean isEnded() {
        return ended;
      }

      void send(long bytes, Runnable onAnswer) {
        SharedLink sharedLink = link;
        if (sharedLink == null) {
          end(() -> inbox.answer(onAnswer));
        } else if (!ended) {
          transfer = sharedLink.send(bytes, () -> end(() -> inbox.answer(onAnswer)));
        }
      }

      private void checkTimeout() {
        SharedLink.Transfer started = transfer;
        long left = started == null ? 0 : started.lastPacketAt + timeoutMillis - time.millis();
        if (isLarge && left > 0) {
          time.after(left, this::checkTimeout);
          return;
        }
        if (!ended && started != null) {
          started.abandon();
        }
        end(() -> inbox.timeout(0, onTimeout));
      }

      private void end(Runnable action) {
        if (!ended) {
          ended = true;
          action.run();
        }
      }
    }
  }
}
