package org.hemlockpick.cell;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.hemlockpick.cell.TableService.Outcome;
import org.hemlockpick.cell.TableService.ReadResult;
import org.hemlockpick.cell.TableService.TransactionResult;
import org.hemlockpick.cell.Transaction.Condition;
import org.hemlockpick.cell.Transaction.Write;
import org.hemlockpick.cell.rows.BoundedRecords;
import org.hemlockpick.proto.CellRecord;
import org.hemlockpick.proto.QueueLength;
import org.jspecify.annotations.Nullable;

/**
 * Polls the lease of a cell and claims it when nobody renews it. The version of the row that the
 * claim writes is the fencing token: it is higher than the tokens of all previous holders.
 */
final class CellLease {
  /**
   * Delay of a claim in round trips to the table service. Instances that are larger or closer to
   * the table service claim first.
   */
  private static final int CLAIM_DELAY_ROUND_TRIPS = 12;

  private static final long MAX_CLAIM_DELAY_MILLIS = 600;
  private static final double JITTER = 0.2;

  private final CellSettings settings;
  private final TableService store;
  private final LoopClock clock;
  private final RandomGenerator random;
  private final DecisionLog log;
  private final Listener listener;

  private final LeaseHistory history = new LeaseHistory();

  private boolean reading;
  private boolean claiming;
  private boolean holding;
  private boolean stopped;
  private long nextReadAt;
  private long lastVersion = -1;
  private long changedAt;
  private long claimAt = Long.MAX_VALUE;
  private long roundTripMillis = CellTiming.STORE_TIMEOUT_MILLIS;
  private boolean hasBeenRead;
  private @Nullable CellRecord lastRecord;
  private ImmutableMap<String, Integer> waitingJobs = ImmutableMap.of();

  CellLease(
      CellSettings settings,
      TableService store,
      LoopClock clock,
      RandomGenerator random,
      DecisionLog log,
      Listener listener) {
    this.settings = settings;
    this.store = store;
    this.clock = clock;
    this.random = random;
    this.log = log;
    this.listener = listener;
  }

  /** Is notified when the lease is acquired. */
  interface Listener {
    /** Called when this entry instance has acquired the lease. */
    void onAcquired(Acquired acquired);
  }

  /**
   * An acquired lease.
   *
   * @param version version of the row, which is the fencing token
   * @param requestedAt time on the monotonic clock before the row was written
   * @param generation number of previous holders
   * @param lastRenewalSeenAt time on the monotonic clock when the last renewal of the previous
   *     holder was seen
   * @param previousHolderEnded whether the previous holder is known to give no more orders
   * @param replacedVersion version of the row that this claim replaced, written by that renewal
   * @param previousReplacedVersion version of the row that the previous holder's claim replaced; 0
   *     if unknown
   * @param history when versions of the row were first seen
   * @param waitingJobs numbers of waiting jobs by queue, as last stored by the previous holder
   */
  record Acquired(
      long version,
      long requestedAt,
      int generation,
      long lastRenewalSeenAt,
      boolean previousHolderEnded,
      long replacedVersion,
      long previousReplacedVersion,
      LeaseHistory history,
      ImmutableMap<String, Integer> waitingJobs) {

    /**
     * Returns the record with which its holder renews it, with its current waiting jobs: of as many
     * queues as fit, as the cell is lost if the row cannot be written.
     *
     * @param rowBytes largest value of a row
     */
    CellRecord renewed(String holder, Map<String, Integer> waiting, int rowBytes) {
      CellRecord.Builder record =
          CellRecord.newBuilder()
              .setFormat(JobRows.FORMAT)
              .setHolder(holder)
              .setGeneration(generation)
              .setReplacedVersion(replacedVersion);
      List<QueueLength> lengths = new ArrayList<>();
      waiting.forEach(
          (queue, count) ->
              lengths.add(QueueLength.newBuilder().setQueue(queue).setWaiting(count).build()));
      return record.addAllWaiting(BoundedRecords.fitting(lengths, rowBytes)).build();
    }
  }

  /** Returns the numbers of waiting jobs by queue, as last stored by the holder. */
  ImmutableMap<String, Integer> waitingJobs() {
    return waitingJobs;
  }

  /** Returns whether the lease has ever been read. */
  boolean hasBeenRead() {
    return hasBeenRead;
  }

  /** Resumes polling after the lease was lost. */
  void onLost() {
    holding = false;
    lastVersion = -1;
    nextReadAt = 0;
  }

  /** Stops claiming the lease. */
  void stop() {
    stopped = true;
  }

  void run() {
    long now = clock.monotonicMillis();
    if (holding || reading || claiming) {
      return;
    }
    if (now >= claimAt && !stopped) {
      claim(now);
      return;
    }
    if (now >= nextReadAt) {
      read(now);
    }
  }

  private void read(long now) {
    reading = true;
    long pause = CellTiming.POLL_INTERVAL_MILLIS;
    nextReadAt = now + pause + (long) (random.nextDouble() * JITTER * pause);
    store.read(
        CellRows.leaseRange(settings.cell()),
        CellTiming.STORE_TIMEOUT_MILLIS,
        result -> onRead(result, now));
  }

  private void onRead(ReadResult result, long sentAt) {
    reading = false;
    if (!result.isComplete()) {
      claimAt = Long.MAX_VALUE;
      // Time in which the lease could not be read does not count against its holder.
      changedAt = clock.monotonicMillis();
      return;
    }
    long now = clock.monotonicMillis();
    hasBeenRead = true;
    roundTripMillis = now - sentAt;
    if (result.rows().isEmpty()) {
      recordRow(0, null, now);
      claimAt = Math.min(claimAt, now + claimDelayMillis());
      return;
    }
    StoredRow row = result.rows().get(0);
    recordRow(row.version(), CellRows.lease(row.value()).orElse(null), now);
    scheduleClaim(now);
  }

  private void scheduleClaim(long now) {
    CellRecord record = lastRecord;
    boolean isFree =
        hasPreviousHolderEnded(record) || now - changedAt >= CellTiming.TAKEOVER_MILLIS;
    if (!isFree) {
      claimAt = Long.MAX_VALUE;
      return;
    }
    boolean isSameEndpoint = record != null && settings.isSameEndpoint(record.getHolder());
    claimAt = Math.min(claimAt, now + (isSameEndpoint ? 0 : claimDelayMillis()));
    nextReadAt = Math.max(claimAt + 1, nextReadAt);
  }

  private boolean hasPreviousHolderEnded(@Nullable CellRecord record) {
    return record == null || record.getReleased() || settings.isSameEndpoint(record.getHolder());
  }

  private long claimDelayMillis() {
    double deficit = 1 - settings.size().fitness();
    long distanceDelay = roundTripMillis * CLAIM_DELAY_ROUND_TRIPS;
    long deficitDelay = (long) (deficit * MAX_CLAIM_DELAY_MILLIS);
    return Math.min(MAX_CLAIM_DELAY_MILLIS, distanceDelay + deficitDelay) + random.nextInt(20);
  }

  private void recordRow(long version, @Nullable CellRecord record, long now) {
    if (version != lastVersion) {
      lastVersion = version;
      changedAt = now;
      history.recordVersion(version, now);
    }
    lastRecord = record;
    if (record == null) {
      return;
    }
    ImmutableMap.Builder<String, Integer> lengths = ImmutableMap.builder();
    for (QueueLength length : record.getWaitingList()) {
      lengths.put(length.getQueue(), length.getWaiting());
    }
    waitingJobs = lengths.buildKeepingLast();
  }

  private void claim(long now) {
    claiming = true;
    claimAt = Long.MAX_VALUE;
    int generation = lastRecord == null ? 0 : lastRecord.getGeneration() + 1;
    CellRecord record =
        CellRecord.newBuilder()
            .setFormat(JobRows.FORMAT)
            .setHolder(settings.holderName())
            .setGeneration(generation)
            .setReplacedVersion(Math.max(0, lastVersion))
            .addAllWaiting(lastRecord == null ? List.of() : lastRecord.getWaitingList())
            .build();
    log.decided(
        "lease",
        settings.cell(),
        "claimed",
        "version " + lastVersion + ", " + describeAvailability(now));
    var row = CellRows.lease(settings.cell());
    long lastRenewalSeenAt = changedAt;
    long replacedVersion = Math.max(0, lastVersion);
    long previousReplacedVersion = lastRecord == null ? 0 : lastRecord.getReplacedVersion();
    boolean previousHolderEnded = hasPreviousHolderEnded(lastRecord);
    ImmutableMap<String, Integer> lastWaitingJobs = waitingJobs;
    Transaction transaction =
        new Transaction(
            settings.cell(),
            List.of(new Condition(row, Math.max(0, lastVersion))),
            List.of(new Write(row, record.toByteString())),
            List.of());
    store.transact(
        transaction,
        CellTiming.STORE_TIMEOUT_MILLIS,
        result ->
            onClaimed(
                result,
                new Acquired(
                    result.version(),
                    now,
                    generation,
                    lastRenewalSeenAt,
                    previousHolderEnded,
                    replacedVersion,
                    previousReplacedVersion,
                    history,
                    lastWaitingJobs)));
  }

  /** Describes for the log why the lease is free and who held it. */
  private String describeAvailability(long now) {
    CellRecord record = lastRecord;
    if (record == null) {
      return lastVersion > 0 ? "its row is unreadable" : "nobody held it";
    }
    String renewed = ", last seen to change " + (now - changedAt) + " ms ago";
    String holder = "held by " + record.getHolder() + renewed;
    if (record.getReleased()) {
      return holder + ", released";
    }
    return holder
        + (settings.isSameEndpoint(record.getHolder())
            ? ", same instance and address"
            : ", not renewed");
  }

  private String describeHolder(TransactionResult result) {
    for (StoredRow row : result.current()) {
      String holder = CellRows.lease(row.value()).map(CellRecord::getHolder).orElse("nobody");
      return ", held by " + holder + " at version " + row.version();
    }
    return "";
  }

  private void onClaimed(TransactionResult result, Acquired acquired) {
    claiming = false;
    nextReadAt = 0;
    if (result.outcome() != Outcome.COMMITTED) {
      String age =
          (clock.monotonicMillis() - acquired.requestedAt()) + " ms after it was requested";
      String reason = age + describeHolder(result);
      log.decided("lease", settings.cell(), "claim " + result.outcome(), reason);
      return;
    }
    if (stopped) {
      log.decided("lease", settings.cell(), "left to lapse", "version " + acquired.version());
      // The lease is left to expire: nothing was done under it.
      return;
    }
    holding = true;
    listener.onAcquired(acquired);
  }
}
