package org.hemlockpick.internal.loop;

import java.util.function.Consumer;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.RowRead;
import org.hemlockpick.proto.RowScan;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.Transaction;

/**
 * Sends calls to the table service and passes each reply to its handler. A call without an answer
 * within the time limit completes with {@link StoreStatus#STORE_UNKNOWN}.
 */
public final class StoreCalls implements LoopSystem {
  private final CallTable<StoreReply> calls = new CallTable<>();
  private final Outbox outbox;
  private final long timeoutMillis;
  private boolean reachable = true;

  /** Creates the client; no call is in flight yet. */
  public StoreCalls(Outbox outbox, Timing timing) {
    this.outbox = outbox;
    this.timeoutMillis = timing.storeTimeout().toMillis();
  }

  /** Commits a transaction; the handler is called once. */
  public void commit(Transaction transaction, Consumer<StoreReply> handler) {
    send(StoreCall.newBuilder().setTransaction(transaction), handler);
  }

  /** Reads one row; the reply holds no row when it is absent. */
  public void read(String table, String key, Consumer<StoreReply> handler) {
    RowRead read = RowRead.newBuilder().setTable(table).setKey(key).build();
    send(StoreCall.newBuilder().setRead(read), handler);
  }

  /** Reads rows in key order. */
  public void scan(RowScan scan, Consumer<StoreReply> handler) {
    send(StoreCall.newBuilder().setScan(scan), handler);
  }

  /** Handles a reply from the table service. */
  public void on(StoreReply reply) {
    calls.settle(reply.getCallId(), reply);
  }

  /** Returns whether the call that completed last was answered. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns the number of calls in flight. */
  public int openCalls() {
    return calls.size();
  }

  @Override
  public void run(long now) {
    calls.expire(now);
  }

  private void send(StoreCall.Builder call, Consumer<StoreReply> handler) {
    StoreReply lost = StoreReply.newBuilder().setStatus(StoreStatus.STORE_UNKNOWN).build();
    long id = calls.add(outbox.now() + timeoutMillis, lost, reply -> settle(reply, handler));
    outbox.call(call.setCallId(id));
  }

  private void settle(StoreReply reply, Consumer<StoreReply> handler) {
    reachable = reply.getStatus() != StoreStatus.STORE_UNKNOWN;
    handler.accept(reply);
  }
}
