package org.hemlockpick.internal.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.errors.ResultCode;
import org.hemlockpick.internal.evacuation.EvacuationNode.StoreMode;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.proto.EvacuationRecord;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.RowWrite;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.Transaction;
import org.hemlockpick.standin.TableModel;
import org.junit.jupiter.api.Test;

class EvacuationSystemTest {
  private static final long TICK_MILLIS = 50;
  private static final String ZONE = "kgn-b";
  private static final RosterMember A = new RosterMember("a", "kgn-a");
  private static final RosterMember B = new RosterMember("b", ZONE);

  private final TableModel store = new TableModel();
  private final List<EvacuationNode> nodes = new ArrayList<>();
  private List<PeerMessage> inFlight = new ArrayList<>();
  private long now = 1_000_000;

  @Test
  void changeIsConfirmedOnceWrittenAndSpreadsByPolling() {
    EvacuationNode a = start(A);
    EvacuationNode b = start(B);
    run(500);

    a.change(ZONE, false);
    run(2_000);

    assertAnswers(a, ResultCode.DONE);
    EvacuationRecord record = b.table.evacuations().get(0);
    assertEquals(List.of(ZONE, "kei"), List.of(record.getZone(), record.getOperator()));

    b.change(ZONE, true);
    run(2_000);

    assertAnswers(b, ResultCode.DONE);
    assertFalse(a.table.isEvacuated(ZONE));
  }

  @Test
  void removedRowEndsTheEvacuation() {
    EvacuationNode a = start(A);
    a.change(ZONE, false);
    run(1_000);

    write(RowWrite.newBuilder().setDelete(true));
    run(2_000);

    assertFalse(a.table.isEvacuated(ZONE));
  }

  @Test
  void rowThatCannotBeDecodedCountsAsEvacuation() {
    EvacuationNode a = start(A);

    write(RowWrite.newBuilder().setValue(ByteString.copyFromUtf8("\u0007")));
    run(2_000);

    assertTrue(a.table.isEvacuated(ZONE));
  }

  @Test
  void unknownZoneIsRefused() {
    EvacuationNode a = start(A);

    a.change("kgn-x", false);
    run(500);

    assertAnswers(a, ResultCode.UNKNOWN_ZONE);
    assertEquals(
        "no entry instance is in zone kgn-x; zones are kgn-a, kgn-b", a.answers.get(0).getDetail());
    assertEquals(0, store.transactions());
  }

  @Test
  void evacuatingAgainKeepsWhoBeganItAndEndingTwiceIsDone() {
    EvacuationNode a = start(A);
    a.change(ZONE, true);
    a.change(ZONE, false);
    run(1_000);
    EvacuationRecord first = a.table.evacuations().get(0);

    a.change(ZONE, false);
    run(1_000);

    assertEquals(first, a.table.evacuations().get(0));
    assertAnswers(a, ResultCode.DONE, ResultCode.DONE, ResultCode.DONE);
  }

  @Test
  void lostReplyIsResolvedByReadingTheRowBack() {
    EvacuationNode a = start(A);
    a.transactions = StoreMode.EXECUTES_WITHOUT_ANSWER;

    a.change(ZONE, false);
    run(4_000);

    assertAnswers(a, ResultCode.DONE);
    assertTrue(a.table.isEvacuated(ZONE));
    assertEquals(1, store.transactions());
  }

  @Test
  void lostWriteIsRepeated() {
    EvacuationNode a = start(A);
    a.transactions = StoreMode.UNREACHABLE;
    a.change(ZONE, false);
    run(1_000);

    a.transactions = StoreMode.ANSWERS;
    run(3_000);

    assertAnswers(a, ResultCode.DONE);
    assertEquals(1, store.transactions());
  }

  @Test
  void outcomeIsUnknownWhenNoReplyShowsIt() {
    EvacuationNode a = start(A);
    a.transactions = StoreMode.UNREACHABLE;

    a.change(ZONE, false);
    run(8_000);

    assertAnswers(a, ResultCode.OUTCOME_UNKNOWN);
  }

  @Test
  void nothingIsWrittenWhileTheTableServiceIsDownAndTheLastStateApplies() {
    EvacuationNode a = start(A);
    a.change(ZONE, false);
    run(1_000);
    a.transactions = StoreMode.UNREACHABLE;
    a.reads = StoreMode.UNREACHABLE;

    a.change(ZONE, true);
    run(30_000);

    assertAnswers(a, ResultCode.DONE, ResultCode.STORE_UNREACHABLE);
    assertTrue(a.table.isEvacuated(ZONE));
  }

  /**
   * A write whose reply was lost must not undo a change that was confirmed after it, even if the
   * confirmed change found the zone in the wanted state already.
   */
  @Test
  void lateWriteDoesNotUndoAConfirmedChange() {
    EvacuationNode a = start(A);
    EvacuationNode b = start(B);
    a.transactions = StoreMode.KEEPS_FOR_LATER;
    a.change(ZONE, false);
    run(8_000);
    assertAnswers(a, ResultCode.OUTCOME_UNKNOWN);

    b.change(ZONE, true);
    run(1_000);
    assertAnswers(b, ResultCode.DONE);
    assertFalse(a.late.isEmpty());
    a.late.forEach(store::handle);
    run(2_000);

    assertFalse(b.table.isEvacuated(ZONE));
  }

  @Test
  void startingInstanceIsReadyOnceItHasReadTheTable() {
    EvacuationNode a = start(A);
    a.reads = StoreMode.UNREACHABLE;
    run(30_000);
    assertFalse(a.isReady());

    a.reads = StoreMode.ANSWERS;
    run(3_000);

    assertTrue(a.isReady());
  }

  @Test
  void instanceStartingWithoutTheTableServiceAdoptsTheEvacuationsOfAReadyPeer() {
    EvacuationNode a = start(A);
    a.change(ZONE, false);
    run(1_000);
    EvacuationNode b = start(B);
    b.reads = StoreMode.UNREACHABLE;

    run(10_000);

    assertTrue(b.isReady());
    assertTrue(b.table.isEvacuated(ZONE));
    a.change(ZONE, true);
    b.reads = StoreMode.ANSWERS;
    run(4_000);
    assertFalse(b.table.isEvacuated(ZONE));
  }

  private EvacuationNode start(RosterMember self) {
    EvacuationNode node = new EvacuationNode(self, List.of(A, B), store, now);
    nodes.add(node);
    return node;
  }

  private void run(long millis) {
    for (long end = now + millis; now < end; now += TICK_MILLIS) {
      List<PeerMessage> arriving = inFlight;
      inFlight = new ArrayList<>();
      for (EvacuationNode node : nodes) {
        inFlight.addAll(node.tick(now, arriving));
      }
    }
  }

  private void write(RowWrite.Builder write) {
    write
        .setTable("evacuations")
        .setKey(ZONE)
        .setExpectedVersion(store.version("evacuations", ZONE));
    store.handle(
        StoreCall.newBuilder().setTransaction(Transaction.newBuilder().addWrites(write)).build());
  }

  private static void assertAnswers(EvacuationNode node, ResultCode... expected) {
    assertEquals(
        List.of(expected), node.answers.stream().map(a -> ResultCode.of(a.getCode())).toList());
  }
}
