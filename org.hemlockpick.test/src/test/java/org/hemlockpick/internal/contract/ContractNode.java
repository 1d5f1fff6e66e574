package org.hemlockpick.internal.contract;

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
import org.hemlockpick.proto.ContractApply;
import org.hemlockpick.proto.ContractQuery;
import org.hemlockpick.proto.ContractView;
import org.hemlockpick.proto.Event;
import org.hemlockpick.proto.Heartbeat;
import org.hemlockpick.proto.Output;
import org.hemlockpick.proto.PeerMessage;
import org.hemlockpick.proto.StoreCall;
import org.hemlockpick.proto.StoreReply;
import org.hemlockpick.standin.TableModel;

/** Runs the contract system of one entry instance against a table service that can fail. */
final class ContractNode {
  /** How the table service handles the calls of this entry instance. */
  enum StoreMode {
    ANSWERS,
    ANSWERS_TRANSACTIONS_ONLY,
    EXECUTES_WITHOUT_ANSWER,
    EXECUTES_LATE_WITHOUT_ANSWER,
    UNREACHABLE
  }

  final ContractTable contracts = new ContractTable();
  final List<CallerAnswer> answers = new ArrayList<>();
  final List<Event> events = new ArrayList<>();
  final ContractSystem system;
  StoreMode storeMode = StoreMode.ANSWERS;

  private static final long LATE_MILLIS = 3_000;

  private record LateCall(long dueAt, StoreCall call) {}

  private final List<LateCall> lateCalls = new ArrayList<>();
  private final TableModel table;
  private final Outbox outbox;
  private final StoreCalls calls;
  private final MembershipSystem membership;
  private final List<StoreReply> replies = new ArrayList<>();

  ContractNode(String name, List<RosterMember> roster, TableModel table, long now) {
    InstanceSettings settings = new InstanceSettings(name, "kgn-a", roster, Timing.defaults());
    PeerTable peers = new PeerTable(settings);
    this.table = table;
    outbox = new Outbox(settings, 1);
    outbox.beginTick(now);
    calls = new StoreCalls(outbox, settings.timing());
    system = new ContractSystem(settings, outbox, calls, peers, contracts);
    membership =
        new MembershipSystem(
            settings,
            outbox,
            peers,
            withinZone ->
                Heartbeat.newBuilder()
                    .setConfigVersion(system.version())
                    .setReady(system.isReady(outbox.now()))
                    .build());
  }

  void apply(String customer, long base, String text) {
    apply(1, customer, base, text);
  }

  void apply(long exchange, String customer, long base, String text) {
    system.on(
        ContractApply.newBuilder()
            .setExchange(exchange)
            .setOperator("operator-" + customer)
            .setCustomer(customer)
            .setBaseRevision(base)
            .setText(text)
            .build());
  }

  /** Returns the contracts in force. Call only between ticks. */
  List<ContractView> inForce() {
    system.on(ContractQuery.getDefaultInstance());
    return outbox.drain().get(0).getCallerAnswer().getContractsList();
  }

  /** Runs one tick and returns the messages to peers. */
  List<PeerMessage> tick(long now, List<PeerMessage> received) {
    outbox.beginTick(now);
    received.forEach(this::handle);
    List<StoreReply> arrived = List.copyOf(replies);
    replies.clear();
    arrived.forEach(calls::on);
    executeLateCalls(now);
    calls.run(now);
    membership.run(now);
    system.run(now);
    List<PeerMessage> sent = new ArrayList<>();
    for (Output output : outbox.drain()) {
      switch (output.getBodyCase()) {
        case PEER_MESSAGE -> sent.add(output.getPeerMessage());
        case STORE_CALL -> execute(output.getStoreCall());
        case CALLER_ANSWER -> answers.add(output.getCallerAnswer());
        case EVENT -> events.add(output.getEvent());
        default -> throw new AssertionError(output);
      }
    }
    return sent;
  }

  long events(String kind) {
    return events.stream().filter(event -> event.getKind().equals(kind)).count();
  }

  private void handle(PeerMessage message) {
    if (membership.on(message)) {
      system.on(message);
    }
  }

  private void execute(StoreCall call) {
    switch (storeMode) {
      case ANSWERS -> replies.add(table.handle(call));
      case ANSWERS_TRANSACTIONS_ONLY -> {
        if (call.hasTransaction()) {
          replies.add(table.handle(call));
        }
      }
      case EXECUTES_WITHOUT_ANSWER -> table.handle(call);
      case EXECUTES_LATE_WITHOUT_ANSWER ->
          lateCalls.add(new LateCall(outbox.now() + LATE_MILLIS, call));
      case UNREACHABLE -> {
        // The call is lost.
      }
    }
  }

  private void executeLateCalls(long now) {
    lateCalls.stream()
        .filter(call -> call.dueAt() <= now)
        .forEach(call -> table.handle(call.call()));
    lateCalls.removeIf(call -> call.dueAt() <= now);
  }
}
