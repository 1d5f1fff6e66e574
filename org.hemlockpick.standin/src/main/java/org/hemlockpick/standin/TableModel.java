package org.hemlockpick.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowRead;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.Transaction;

/** In-memory model of the transactional table service, without sockets or threads. */
public final class TableModel {
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private long lastVersion;
  private long transactions;
  private long reads;

  /** Handles a call. */
  public StoreReply handle(StoreCall call) {
    StoreReply.Builder reply =
        switch (call.getBodyCase()) {
          case TRANSACTION -> apply(call.getTransaction());
          case READ -> read(call.getRead());
          case SCAN -> scan(call.getScan());
          case BODY_NOT_SET -> StoreReply.newBuilder().setStatus(StoreStatus.STORE_UNKNOWN);
        };
    return reply.setCallId(call.getCallId()).build();
  }

  /** Returns the version of a row; 0 if the row does not exist. */
  public long version(String table, String key) {
    return find(table, key).getVersion();
  }

  /** Returns the number of transactions, whether applied or refused because of a conflict. */
  public long transactions() {
    return transactions;
  }

  /** Returns the number of reads and scans that were answered. */
  public long reads() {
    return reads;
  }

  private StoreReply.Builder apply(Transaction transaction) {
    transactions++;
    List<Row> conflicts = new ArrayList<>();
    for (RowWrite write : transaction.getWritesList()) {
      Row current = find(write.getTable(), write.getKey());
      if (current.getVersion() != write.getExpectedVersion()) {
        conflicts.add(current);
      }
    }
    if (!conflicts.isEmpty()) {
      return StoreReply.newBuilder().setStatus(StoreStatus.STORE_CONFLICT).addAllRows(conflicts);
    }
    lastVersion++;
    transaction.getWritesList().forEach(this::write);
    return StoreReply.newBuilder().setStatus(StoreStatus.STORE_OK).setVersion(lastVersion);
  }

  private void write(RowWrite write) {
    NavigableMap<String, Row> rows = table(write.getTable());
    if (write.getDelete()) {
      rows.remove(write.getKey());
      return;
    }
    Row row =
        Row.newBuilder()
            .setTable(write.getTable())
            .setKey(write.getKey())
            .setVersion(lastVersion)
            .setValue(write.getValue())
            .build();
    rows.put(write.getKey(), row);
  }

  private StoreReply.Builder read(RowRead read) {
    reads++;
    Row row = find(read.getTable(), read.getKey());
    StoreReply.Builder reply = StoreReply.newBuilder().setStatus(StoreStatus.STORE_OK);
    return row.getVersion() == 0 ? reply : reply.addRows(row);
  }

  private StoreReply.Builder scan(RowScan scan) {
    reads++;
    StoreReply.Builder reply = StoreReply.newBuilder().setStatus(StoreStatus.STORE_OK);
    String after = scan.getAfter().isEmpty() ? scan.getPrefix() : scan.getAfter();
    boolean inclusive = scan.getAfter().isEmpty();
    for (Row row : table(scan.getTable()).tailMap(after, inclusive).values()) {
      if (!row.getKey().startsWith(scan.getPrefix()) || reply.getRowsCount() >= scan.getLimit()) {
        break;
      }
      reply.addRows(row);
    }
    return reply;
  }

  private Row find(String table, String key) {
    Row absent = Row.newBuilder().setTable(table).setKey(key).build();
    return table(table).getOrDefault(key, absent);
  }

  private NavigableMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }
}
