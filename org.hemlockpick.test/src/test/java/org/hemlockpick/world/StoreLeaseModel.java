package org.hemlockpick.world;

import com.google.protobuf.ByteString;
import java.util.List;
import org.hemlockpick.proto.LeaseCall;
import org.hemlockpick.proto.Row;
import org.hemlockpick.proto.RowRead;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreStatus;
import org.hemlockpick.proto.Transaction;

/** Models a lease kept as a row in the table service, which answers at once when reachable. */
final class StoreLeaseModel {
  static final long TTL_MILLIS = 4_000;
  private static final long RENEWAL_MILLIS = 1_000;

  private static final class Candidate {
    final EntryNode node;
    long seenVersion = -1;
    long seenSince;
    long heldUntil;

    Candidate(EntryNode node) {
      this.node = node;
    }
  }

  private final World world;
  private final String worker;
  private final List<Candidate> candidates;

  StoreLeaseModel(World world, String worker) {
    this.world = world;
    this.worker = worker;
    candidates = world.entriesOf(world.worker(worker).zone).stream().map(Candidate::new).toList();
    candidates.forEach(this::run);
  }

  /** Returns whether a live entry instance may use the worker now. */
  boolean isHeld() {
    long now = world.time.millis();
    return candidates.stream().anyMatch(c -> !c.node.dead && now < c.heldUntil);
  }

  private void run(Candidate candidate) {
    EntryNode node = candidate.node;
    boolean reached = !world.conditions.storeDown && world.conditions.canReachPlatform(node.zone);
    if (reached && !node.dead && !node.paused) {
      renewOrAcquire(candidate, world.time.millis());
    }
    world.time.after(RENEWAL_MILLIS, () -> run(candidate));
  }

  private void renewOrAcquire(Candidate candidate, long now) {
    ByteString value = LeaseCall.newBuilder().setOwner(candidate.node.name).build().toByteString();
    RowRead read = RowRead.newBuilder().setTable("leases").setKey(worker).build();
    List<Row> rows = world.table.handle(StoreCall.newBuilder().setRead(read).build()).getRowsList();
    Row row = rows.isEmpty() ? Row.getDefaultInstance() : rows.get(0);
    if (row.getVersion() != candidate.seenVersion) {
      candidate.seenVersion = row.getVersion();
      candidate.seenSince = now;
    }
    boolean expired = row.getVersion() == 0 || now - candidate.seenSince >= TTL_MILLIS;
    if ((expired || row.getValue().equals(value)) && write(row.getVersion(), value)) {
      candidate.heldUntil = now + TTL_MILLIS;
    }
  }

  private boolean write(long version, ByteString value) {
    RowWrite.Builder write = RowWrite.newBuilder().setTable("leases").setKey(worker);
    write.setExpectedVersion(version).setValue(value);
    Transaction transaction = Transaction.newBuilder().addWrites(write).build();
    StoreCall call = StoreCall.newBuilder().setTransaction(transaction).build();
    return world.table.handle(call).getStatus() == StoreStatus.STORE_OK;
  }
}
