package org.hemlockpick.internal.evacuation;

import java.util.ArrayList;
import java.util.List;
import org.hemlockpick.internal.loop.Outbox;
import org.hemlockpick.internal.loop.StoreCalls;
import org.hemlockpick.internal.membership.MembershipSystem;
import org.hemlockpick.internal.membership.PeerTable;
import org.hemlockpick.lib.InstanceSettings;
import org.hemlockpick.lib.RosterMember;
import org.hemlockpick.lib.Timing;
import org.hemlockpick.proto.CallerAnswer;
import org.hemlockpick.proto.EvacuationChange;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.standin.TableModel;

/** Runs the evacuation system of one entry instance against a table service that can fail. */
final class EvacuationNode {
  /** How the table service handles the transactions of this entry instance. */
  enum StoreMode {
    ANSWERS,
    EXECUTES_WITHOUT_ANSWER,
    KEEPS_FOR_LATER,
    UNREACHABLE
  }

  final EvacuationTable table;
  final EvacuationSystem system;
  final List<CallerAnswer> answers = new ArrayList<>();

  /** Transactions that reach the table service later than their time limit. */
  final List<StoreCall> late = new ArrayList<>();

  StoreMode transactions = StoreMode.ANSWERS;
  StoreMode reads = StoreMode.ANSWERS;

  private final TableModel store;
  private final Outbox outbox;
  private final StoreCalls calls;
  private final MembershipSystem membership;
  private final List<StoreReply> replies = new ArrayList<>();

  EvacuationNode(RosterMember self, List<RosterMember> roster, TableModel store, long now) {
    InstanceSettings settings =
        new InstanceSettings(self.name(), self.zone(), roster, Timing.defaults());
    this.store = store;
    outbox = new Outbox(settings, 1);
    outbox.beginTick(now);
    calls = new StoreCalls(outbox, settings.timing());
    PeerTable peers = new PeerTable(settings);
    table = new EvacuationTable(outbox);
    system = new EvacuationSystem(settings, outbox, calls, peers, table);
    membership = new MembershipSystem(settings, outbox, peers, withinZone -> heartbeat());
  }

  void change(String zone, boolean end) {
    system.on(
        EvacuationChange.newBuilder()
            .setExchange(1)
            .setOperator("kei")
            .setZone(zone)
            .setEnd(end)
            .build());
  }

  boolean isReady() {
    return system.isReady(outbox.now());
  }

  /** Runs one tick and returns the messages to peers. */
  List<PeerMessage> tick(long now, List<PeerMessage> received) {
    outbox.beginTick(now);
    received.forEach(membership::on);
    List<StoreReply> arrived = List.copyOf(replies);
    replies.clear();
    arrived.forEach(calls::on);
    calls.run(now);
    membership.run(now);
    system.run(now);
    List<PeerMessage> sent = new ArrayList<>();
    for (Output output : outbox.drain()) {
      switch (output.getBodyCase()) {
        case PEER_MESSAGE -> sent.add(output.getPeerMessage());
        case STORE_CALL -> execute(output.getStoreCall());
        case CALLER_ANSWER -> answers.add(output.getCallerAnswer());
        case EVENT -> {
          // Not checked.
        }
        default -> throw new AssertionError(output);
      }
    }
    return sent;
  }

  private void execute(StoreCall call) {
    switch (call.hasTransaction() ? transactions : reads) {
      case ANSWERS -> replies.add(store.handle(call));
      case EXECUTES_WITHOUT_ANSWER -> store.handle(call);
      case KEEPS_FOR_LATER -> late.add(call);
      case UNREACHABLE -> {
        // The call is lost.
      }
    }
  }

  private Heartbeat heartbeat() {
    return Heartbeat.newBuilder()
        .setReady(isReady())
        .addAllEvacuations(table.evacuations())
        .build();
  }
}
