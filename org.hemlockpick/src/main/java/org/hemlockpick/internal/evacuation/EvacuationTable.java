package org.hemlockpick.internal.evacuation;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.proto.EvacuationRecord;
import org.hemlockpick.proto.Row;
import org.jspecify.annotations.Nullable;

/** Holds the newest known record of each availability zone that was ever evacuated. */
public final class EvacuationTable {
  private final Map<String, Entry> entries = new TreeMap<>();
  private final Outbox outbox;

  /**
   * A record with the version of its row.
   *
   * @param version version of the row; 0 if the record was learned from a peer
   */
  private record Entry(EvacuationRecord record, long version) {}

  /** Creates the table; no availability zone is evacuated. */
  public EvacuationTable(Outbox outbox) {
    this.outbox = outbox;
  }

  /** Returns whether an availability zone is evacuated. */
  public boolean isEvacuated(String zone) {
    Entry entry = entries.get(zone);
    return entry != null && !entry.record().getEnded();
  }

  /** Returns the evacuations that have not ended, ordered by availability zone. */
  public List<EvacuationRecord> evacuations() {
    return entries.values().stream().map(Entry::record).filter(r -> !r.getEnded()).toList();
  }

  /** Returns the availability zones with a record, including those whose evacuation has ended. */
  Set<String> zones() {
    return Set.copyOf(entries.keySet());
  }

  /** Returns the record of an availability zone; null if there is none. */
  @Nullable EvacuationRecord find(String zone) {
    Entry entry = entries.get(zone);
    return entry == null ? null : entry.record();
  }

  /**
   * Takes the record in a row unless a newer one is known. A row that cannot be decoded counts as
   * an evacuation of the zone that its key names: starting no work there is the safe choice.
   */
  void learn(Row row) {
    if (isNews(row.getKey(), row.getVersion())) {
      learn(decode(row), row.getVersion());
    }
  }

  /** Takes a record unless a newer one of its availability zone is known. */
  void learn(EvacuationRecord record, long version) {
    String zone = record.getZone();
    if (!isNews(zone, version)) {
      return;
    }
    boolean before = isEvacuated(zone);
    entries.put(zone, new Entry(record, version));
    report(zone, before, record.getOperator());
  }

  /** Drops the record of an availability zone whose row was removed. */
  void drop(String zone) {
    boolean before = isEvacuated(zone);
    entries.remove(zone);
    report(zone, before, "row removed");
  }

  private boolean isNews(String zone, long version) {
    Entry entry = entries.get(zone);
    return entry == null || version > entry.version();
  }

  private EvacuationRecord decode(Row row) {
    try {
      return EvacuationRecord.parseFrom(row.getValue()).toBuilder().setZone(row.getKey()).build();
    } catch (InvalidProtocolBufferException e) {
      outbox.event("evacuation-row-damaged", row.getKey(), e.toString());
      return EvacuationRecord.newBuilder().setZone(row.getKey()).setAtMillis(outbox.now()).build();
    }
  }

  private void report(String zone, boolean before, String detail) {
    boolean after = isEvacuated(zone);
    if (before != after) {
      outbox.event(after ? "evacuation-begun" : "evacuation-ended", zone, detail);
    }
  }
}
